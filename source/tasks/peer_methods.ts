/**
 * The calls that an agent serves to its peers, mapped to the tasks that answer.
 *
 * @module
 */
import type { Address } from "../core/agent.ts";
import { newerTable } from "../core/ownership/table.ts";
import { compareTokens, noToken } from "../core/ownership/token.ts";
import {
  witness,
  type WitnessedDepartures,
} from "../core/target/departures.ts";
import type { TimelineEvent } from "../ports/events.ts";
import type {
  CensusReply,
  GrantorLocation,
  LocateRequest,
  PeerMethods,
  WatchReport,
} from "../ports/peers.ts";
import type { GrantorsTask } from "./grantors_task.ts";
import type { HolderTask } from "./holder_task.ts";
import type { GossipTask } from "./gossip_task.ts";

/**
 * The calls of coordination; other tasks answer offers of bodies and requests
 * for retries.
 */
export type CoordinationMethods = Omit<
  PeerMethods,
  "offerBody" | "lendRetries"
>;

/** Maps each call to the task that answers it. */
export function peerMethods(options: {
  readonly gossip: GossipTask;
  readonly grantors: GrantorsTask;
  readonly holder: () => HolderTask | null;
  readonly census: (
    addresses: readonly Address[] | null,
  ) => Promise<CensusReply>;
  readonly reportWatch: (report: WatchReport) => void;
  readonly eventsAfter: (logicalTime: number) => readonly TimelineEvent[];
}): CoordinationMethods {
  const { gossip, grantors } = options;

  let witnessed: WitnessedDepartures = new Map();

  function holderOf(group: string): HolderTask | null {
    return gossip.self().group === group ? options.holder() : null;
  }

  async function locateGrantor(
    question: LocateRequest,
  ): Promise<GrantorLocation | null> {
    const own = await grantors.locate(question);
    if (own !== null || question.effort !== "known") return own;
    const known = holderOf(question.group)?.grantor() ?? null;
    const { unreachable } = question;
    const superseded = known === null || unreachable === null
      ? false
      : known.epoch <= unreachable.epoch;
    return superseded ? null : known;
  }

  return {
    exchange: (message) => Promise.resolve(gossip.exchange(message)),
    compare: (message) => Promise.resolve(gossip.compare(message)),
    transfer: (message) => Promise.resolve(gossip.transfer(message)),
    renew: (renewal) => grantors.renew(renewal),
    locateGrantor,
    takeEpoch: (claim) =>
      holderOf(claim.group)?.takeEpoch(claim) ?? Promise.resolve(null),
    sealGrantor: (claim) => grantors.seal(claim),
    handover: (question) => Promise.resolve(grantors.handover(question)),
    hearsGrantor: ({ group }) =>
      holderOf(group)?.hearsGrantor() ??
        Promise.resolve({ id: gossip.self().id, epoch: 0, hears: false }),
    identify: () => Promise.resolve(gossip.self().id),
    nudge({ group }) {
      holderOf(group)?.nudge();
      return Promise.resolve(null);
    },
    table({ group, known = noToken }) {
      const held = holderOf(group)?.table() ?? null;
      const granted = grantors.table(group);
      const table = granted === null ? held : newerTable(granted, held);
      const newer = table !== null && compareTokens(table.version, known) > 0;
      return Promise.resolve(newer ? table : null);
    },
    reportWatch(report) {
      options.reportWatch(report);
      return Promise.resolve(null);
    },
    storeDepartures({ host, departures }) {
      witnessed = witness(witnessed, host, departures);
      return Promise.resolve(null);
    },
    departuresOf: ({ host }) => Promise.resolve(witnessed.get(host) ?? []),
    census: ({ addresses }) => options.census(addresses),
    events: ({ after }) => Promise.resolve(options.eventsAfter(after)),
    roster: () =>
      Promise.resolve(
        gossip.agents().map((agent) => ({
          host: agent.host,
          address: agent.peerAddress,
        })),
      ),
  };
}
