/**
 * What a grantor records of a server with each renewal.
 *
 * @module
 */
import type { Clocks } from "../clocks.ts";
import type { GrantorSettings, GrantorState, Holder } from "./grantor_state.ts";
import { separateLoads } from "./isolated_loads.ts";
import { smoothRates, smoothWeight } from "./load_smoothing.ts";
import type { Renewal } from "./renewal.ts";
import { noToken } from "./token.ts";

export function withHolder(
  state: GrantorState,
  renewal: Renewal,
  now: Clocks,
): GrantorState {
  const former = state.holders.get(renewal.id);
  const holder: Holder = {
    id: renewal.id,
    peerAddress: renewal.peerAddress,
    ...smoothWeight(former, renewal),
    weightLimit: renewal.weightLimit,
    checksFencing: renewal.checksFencing,
    leaving: renewal.leaving,
    leaseHadExpired: renewal.lapsed !== undefined,
    leaseEndsAt: now.monotonic + state.settings.leaseMilliseconds,
    tableVersion: renewal.tableVersion,
    ...advanceSettledVersion(former, {
      renewal,
      now: now.monotonic,
      settings: state.settings,
    }),
  };
  const holders = new Map(state.holders).set(renewal.id, holder);
  const loads = smoothRates(state.loads, separateLoads(state, renewal));
  const joined = former === undefined;
  return incrementSequenceIf({ ...state, holders, loads }, joined);
}

function incrementSequenceIf(
  state: GrantorState,
  changed: boolean,
): GrantorState {
  return changed ? { ...state, sequence: state.sequence + 1 } : state;
}

/**
 * A table version is settled once every request that was admitted by an older
 * version must have ended.
 */
function advanceSettledVersion(
  former: Holder | undefined,
  seen: {
    readonly renewal: Renewal;
    readonly now: number;
    readonly settings: GrantorSettings;
  },
): Pick<Holder, "settledVersion" | "settling"> {
  const version = seen.renewal.tableVersion;
  const next = { version, since: seen.now };
  if (former === undefined) return { settledVersion: noToken, settling: next };
  const { settling, settledVersion } = former;
  const { longestDeadlineMilliseconds } = seen.settings;
  if (seen.now - settling.since < longestDeadlineMilliseconds) {
    return { settledVersion, settling };
  }
  return { settledVersion: settling.version, settling: next };
}
