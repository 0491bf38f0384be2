/**
 * The task that holds slices for the local target: it answers the claims of new
 * grantors and decides which requests may be served.
 *
 * @module
 */
import type { Address, Agent } from "../core/agent.ts";
import type { Clocks } from "../core/clocks.ts";
import type {
  Grant,
  Renewal,
  RenewalAnswer,
  TakeoverAnswer,
} from "../core/ownership/renewal.ts";
import {
  createHolder,
  decideHold,
  type HoldDecision,
  type HolderState,
  type HoldRefusal,
  isLeaseValid,
  reportGrants,
  stepHolder,
} from "../core/ownership/holder.ts";
import {
  type OwnershipTable,
  type PlaceKey,
  sliceOfKey,
  type VersionedOwner,
  versionedOwnerOf,
} from "../core/ownership/table.ts";
import type { FencingToken } from "../core/ownership/token.ts";
import type { Events } from "../ports/events.ts";
import type {
  EpochClaim,
  GrantorLocation,
  GrantorReachability,
  Peers,
} from "../ports/peers.ts";
import { type MeasuredLoad, startLoadCount } from "./held_load.ts";
import type { KeyGrantsTask, StartKeyGrants } from "./key_grants.ts";
import { ask, openMailbox } from "./mailbox.ts";
import {
  type OutgoingRenewal,
  type RenewalTimes,
  startRenewals,
} from "./renewal_task.ts";
import { monotonicNow, pause, readClocks } from "./time.ts";

/** Durations of a holder, in milliseconds. */
export interface HolderTimes extends RenewalTimes {
  /**
   * A lease counts as ended this much early, as clocks run at different rates.
   */
  readonly marginMilliseconds: number;
}

/** Permission to run one request on a key. */
export interface Permit {
  readonly slice: number;
  readonly token: FencingToken;
  /** The end of the lease on the wall clock, in milliseconds since 1970. */
  readonly leaseEndsAtWall: number;
  /** Whether the lease still covers the slice. */
  stillHolds(): boolean;
  /** Must be called when the request has ended; further calls do nothing. */
  finish(): void;
}

/** The running holder of one agent. */
export interface HolderTask {
  /** Admits one request on a key, or returns the reason for refusing it. */
  admit(key: string): Permit | HoldRefusal;
  /** The other agent that owns the key, as far as is known here; or null. */
  otherOwner(key: string): VersionedOwner | null;
  /** Whether a request on this key would be admitted now. */
  owns(key: string): boolean;
  /** Accepts a new grantor's epoch; null when a later one has been accepted. */
  takeEpoch(claim: EpochClaim): Promise<TakeoverAnswer | null>;
  /** Whether the grantor answers; renews first unless it has just answered. */
  hearsGrantor(): Promise<GrantorReachability>;
  /** Renews at once. */
  nudge(): void;
  table(): OwnershipTable;
  /** The grantor, while the lease holds; otherwise null. */
  grantor(): GrantorLocation | null;
  /** Reports to the grantor whether the target is leaving. */
  setLeaving(value: boolean): void;
  /**
   * Releases all slices. Resolves to true once the grantor has confirmed it, or
   * to false after the timeout.
   */
  releaseAll(
    options: { readonly timeoutMilliseconds: number },
  ): Promise<boolean>;
  heldSlices(): number;
  /**
   * Called when another process has taken the target's place. Slices are
   * released once that process is known to hold none of their keys.
   */
  targetReplaced(): void;
  stop(): Promise<void>;
}

type Message =
  | {
    readonly kind: "answered";
    readonly askedAt: Clocks;
    readonly answer: RenewalAnswer;
    readonly reported: readonly Grant[];
  }
  | {
    readonly kind: "takeEpoch";
    readonly claim: EpochClaim;
    readonly answer: (value: TakeoverAnswer | null) => void;
  }
  | { readonly kind: "admitted" | "finished"; readonly slice: number }
  | {
    readonly kind: "surrendered";
    readonly slice: number;
    readonly token: FencingToken;
    readonly handover: string | undefined;
  }
  | {
    readonly kind: "lost" | "release";
    readonly slices: readonly number[];
  }
  | { readonly kind: "releaseAll" };

/** What a holder needs. */
export interface HolderOptions {
  readonly agent: Agent & { readonly group: string };
  readonly times: HolderTimes;
  readonly peers: Peers;
  readonly events: Events;
  readonly place: PlaceKey;
  /** The target's capacity, relative to the others of its service. */
  readonly weight: () => number;
  /** The most that the target takes at this moment; null without a limit. */
  readonly weightLimit?: () => number | null;
  /** Returns a number from 0 up to but not including 1. */
  readonly random: () => number;
  /** Null for a target that does not need to be told which keys it holds. */
  readonly startKeyGrants: StartKeyGrants | null;
  /** Whether the target is leaving when the holder starts. */
  readonly leaving: boolean;
  /** Agents to ask for the grantor, in this order. */
  readonly candidates: () => {
    readonly members: readonly Address[];
    readonly grantors: readonly Address[];
  };
}

/** Starts the holder of one agent in its group. */
export function startHolder(options: HolderOptions): HolderTask {
  const { agent, times, events, place } = options;
  let state = createHolder({
    id: agent.id,
    group: agent.group,
    marginMilliseconds: times.marginMilliseconds,
    targetSurrenders: options.startKeyGrants !== null,
  });
  const keyGrants = options.startKeyGrants?.({
    onSuperseded: (slice) => mailbox.send({ kind: "release", slices: [slice] }),
  }) ?? null;
  /** Slices that the target has been ordered to release. */
  const surrendering = new Set<number>();
  let { leaving } = options;
  const loadCount = startLoadCount({ place, now: monotonicNow() });
  /**
   * Whether the target still holds keys granted by earlier processes of this
   * agent: not known, being emptied, emptied, or no longer of interest as
   * slices are held.
   */
  let emptiness: "unknown" | "asked" | "empty" | "held" = "unknown";
  let hadLease = false;

  function updateState(next: HolderState): void {
    const released = next.released.length > state.released.length;
    state = next;
    if (keyGrants !== null) surrenderReleasing(keyGrants);
    if (released) renewals.nudge();
  }

  /**
   * Runs twice for each request, so it skips all work while no slice changes.
   */
  function updateRunning(
    message: Message & { kind: "admitted" | "finished" },
  ): void {
    const next = stepHolder(state, message);
    if (next.slices !== state.slices) return updateState(next);
    state = next;
  }

  function surrenderReleasing(target: KeyGrantsTask): void {
    for (const [slice, held] of state.slices) {
      if (!held.releasing || held.surrendered !== null) continue;
      if (surrendering.has(slice)) continue;
      surrendering.add(slice);
      const { token } = held;
      void target.surrender({ slice, token }, state.table).then(
        ({ handover }) => {
          surrendering.delete(slice);
          mailbox.send({ kind: "surrendered", slice, token, handover });
        },
      );
    }
  }

  /** Informs the target of the slices that the lease covers now. */
  function updateTarget(): void {
    keyGrants?.hold({
      grants: [...state.slices]
        .filter(([, held]) => !held.releasing)
        .map(([slice, { token, handover }]) => ({ slice, token, handover })),
      table: state.table,
      leaseEndsAt: state.leaseEndsAt,
    });
  }

  const mailbox = openMailbox<Message>((message) => {
    switch (message.kind) {
      case "answered":
        if (message.answer.grants.length > 0) emptiness = "held";
        updateState(stepHolder(state, message));
        updateTarget();
        break;
      case "takeEpoch":
        message.answer(acceptEpoch(message.claim));
        break;
      case "admitted":
      case "finished":
        updateRunning(message);
        break;
      case "surrendered":
      case "lost":
      case "release":
      case "releaseAll":
        updateState(stepHolder(state, message));
        break;
    }
  });

  function acceptEpoch(claim: EpochClaim): TakeoverAnswer | null {
    if (claim.epoch < state.epoch) return null;
    updateState(
      stepHolder(state, { kind: "epochTaken", epoch: claim.epoch }),
    );
    renewals.follow({ address: claim.grantorAddress, epoch: claim.epoch });
    emptyTargetOnce(claim.epoch);
    events.record("epoch-accepted", {
      group: state.group,
      epoch: claim.epoch,
      grantor: claim.grantorAddress,
    });
    return {
      id: agent.id,
      ...reportGrants(state, readClocks()),
      weight: options.weight(),
      weightLimit: options.weightLimit?.() ?? undefined,
      checksFencing: agent.checksFencing,
      leaving,
    };
  }

  /**
   * Empties the target, so that a new grantor need not wait for its old keys.
   */
  function emptyTargetOnce(epoch: number): void {
    if (keyGrants === null || emptiness !== "unknown") return;
    emptiness = "asked";
    void keyGrants.emptyTarget(epoch).then((empty) => {
      if (emptiness !== "asked") return;
      emptiness = empty ? "empty" : "unknown";
      events.record("target-emptied", { group: state.group, epoch, empty });
      if (empty) renewals.nudge();
    });
  }

  function composeRenewal(measured: MeasuredLoad | null): Renewal {
    return {
      group: state.group,
      epoch: state.epoch,
      id: agent.id,
      peerAddress: agent.peerAddress,
      weight: options.weight(),
      weightLimit: options.weightLimit?.() ?? undefined,
      checksFencing: agent.checksFencing,
      leaving,
      ...reportGrants(state, readClocks()),
      released: state.released,
      emptied: emptiness === "empty",
      tableVersion: state.table.version,
      sliceLoads: measured?.sliceLoads ?? [],
      keyLoads: measured?.keyLoads ?? [],
    };
  }

  function outgoingRenewal(): OutgoingRenewal {
    const measured = loadCount.measure(state, monotonicNow());
    const message = composeRenewal(measured);
    return {
      message,
      onAnswer({ answer, askedAt }) {
        const reported = message.released;
        mailbox.send({ kind: "answered", askedAt, answer, reported });
        if (measured !== null) loadCount.restart(state, monotonicNow());
      },
    };
  }

  function recordLeaseChange(): void {
    const holds = isLeaseValid(state, readClocks());
    if (holds === hadLease) return;
    hadLease = holds;
    events.record(holds ? "lease-restored" : "lease-ended", {
      group: state.group,
      epoch: state.epoch,
      slices: state.slices.size,
    });
  }

  const renewals = startRenewals({
    ...options,
    group: agent.group,
    epoch: () => state.epoch,
    compose: outgoingRenewal,
    onRenewalEnded: recordLeaseChange,
  });

  /** Whether the target accepts work on the slice, as far as is known. */
  function targetAccepts(slice: number): boolean {
    return keyGrants === null || keyGrants.isConfirmed(slice) ||
      keyGrants.isServedUntilReleased(slice);
  }

  function decide(slice: number): HoldDecision {
    const decision = decideHold(state, slice, readClocks(), {
      servedUntilReleased: keyGrants?.isServedUntilReleased(slice) ?? false,
    });
    return decision.kind === "owned" && !targetAccepts(slice)
      ? { kind: "refused", reason: "moving" }
      : decision;
  }

  return {
    admit(key) {
      const slice = sliceOfKey(state.table, key, place);
      const decision = decide(slice);
      if (decision.kind === "refused") return decision.reason;
      mailbox.send({ kind: "admitted", slice });
      loadCount.add(key, slice);
      let finished = false;
      return {
        slice,
        token: decision.token,
        leaseEndsAtWall: state.leaseEndsAt.wall,
        stillHolds: () =>
          state.slices.has(slice) && isLeaseValid(state, readClocks()) &&
          targetAccepts(slice),
        finish() {
          if (finished) return;
          finished = true;
          mailbox.send({ kind: "finished", slice });
        },
      };
    },
    otherOwner(key) {
      const slice = sliceOfKey(state.table, key, place);
      const owner = versionedOwnerOf(state.table, slice);
      return owner?.holder.id === agent.id ? null : owner;
    },
    owns(key) {
      const slice = sliceOfKey(state.table, key, place);
      return decide(slice).kind === "owned";
    },
    takeEpoch: (claim) =>
      ask<Message, TakeoverAnswer | null>(
        mailbox,
        (answer) => ({ kind: "takeEpoch", claim, answer }),
      ),
    async hearsGrantor() {
      const hears = await renewals.hearsGrantor();
      return { id: agent.id, epoch: state.epoch, hears };
    },
    nudge: renewals.nudge,
    table: () => state.table,
    grantor: () =>
      isLeaseValid(state, readClocks()) ? renewals.grantor() : null,
    setLeaving(value) {
      if (leaving === value) return;
      leaving = value;
      renewals.nudge();
    },
    async releaseAll({ timeoutMilliseconds }) {
      const end = performance.now() + timeoutMilliseconds;
      mailbox.send({ kind: "releaseAll" });
      while (state.slices.size + state.released.length > 0) {
        if (performance.now() >= end) return false;
        await pause(20);
      }
      return true;
    },
    heldSlices: () => state.slices.size,
    targetReplaced() {
      const slices = [...state.slices.keys()];
      // They are taken back by one order, not by one for each slice.
      for (const slice of slices) surrendering.add(slice);
      mailbox.send({ kind: "release", slices });
      void (keyGrants?.replaceTarget() ?? Promise.resolve()).then(() => {
        for (const slice of slices) surrendering.delete(slice);
        mailbox.send({ kind: "lost", slices });
      });
    },
    async stop() {
      mailbox.close();
      await renewals.stop();
    },
  };
}
