/**
 * The task that holds slices for the local target: it renews the lease, answers
 * the claims of new grantors and decides which requests may be served.
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
import { locateGrantor } from "./locate_grantor.ts";
import { ask, openMailbox } from "./mailbox.ts";
import { aborted, monotonicNow, pause, readClocks } from "./time.ts";

/** Durations of a holder, in milliseconds. */
export interface HolderTimes {
  readonly renewalMilliseconds: number;
  readonly retryMilliseconds: number;
  readonly callTimeoutMilliseconds: number;
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
   * Called when the target's process was replaced: the new one holds nothing.
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

/**
 * Random share of the renewal interval, so that servers don't renew at once.
 */
const renewalJitter = 0.2;
/** Time after which an unanswered renewal is late, in call timeouts. */
const lateRenewalCalls = 2;
/** Timeout of a renewal, in call timeouts. */
const renewalTimeoutCalls = 4;

/** Starts the holder of one agent in its group. */
export function startHolder(options: {
  readonly agent: Agent & { readonly group: string };
  readonly times: HolderTimes;
  readonly peers: Peers;
  readonly events: Events;
  readonly place: PlaceKey;
  /** The target's capacity, relative to the others of its service. */
  readonly weight: () => number;
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
}): HolderTask {
  const { agent, times, peers, events, place } = options;
  const stopped = new AbortController();
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
  let grantor: GrantorLocation | null = null;
  /** The last unreachable grantor, until a grantor has answered. */
  let unreachable: GrantorLocation | null = null;
  /** Consecutive failed renewals. */
  let failures = 0;
  /** Whether the grantor's answer to a renewal is late. */
  let grantorLate = false;
  /** Ends the wait for a renewal when another grantor is followed. */
  let superseded = new AbortController();
  /** When a grantor was last heard from, on the monotonic clock. */
  let lastAnswerAt = -Infinity;
  /** Called with the result of the current renewal or else of the next one. */
  const renewalListeners = new Set<(hears: boolean) => void>();
  let { leaving } = options;
  let wake = new AbortController();
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
    if (released) nudge();
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
    followGrantor({ address: claim.grantorAddress, epoch: claim.epoch });
    lastAnswerAt = monotonicNow();
    notifyRenewalListeners(true);
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
      if (empty) nudge();
    });
  }

  function nudge(): void {
    wake.abort();
  }

  function notifyRenewalListeners(hears: boolean): void {
    for (const listener of renewalListeners) listener(hears);
    renewalListeners.clear();
  }

  /** Renews first, unless the grantor has answered within one call timeout. */
  async function hearsGrantor(): Promise<GrantorReachability> {
    const silent =
      monotonicNow() - lastAnswerAt >= times.callTimeoutMilliseconds;
    let hears = grantor !== null && !grantorLate;
    if (hears && silent) {
      nudge();
      hears = await new Promise((resolve) => renewalListeners.add(resolve));
    }
    return { id: agent.id, epoch: state.epoch, hears };
  }

  function composeRenewal(measured: MeasuredLoad | null): Renewal {
    return {
      group: state.group,
      epoch: state.epoch,
      id: agent.id,
      peerAddress: agent.peerAddress,
      weight: options.weight(),
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

  function followGrantor(location: GrantorLocation): void {
    grantor = location;
    failures = 0;
    grantorLate = false;
    superseded.abort();
  }

  /** Sends one renewal; an answer that arrives after the signal is ignored. */
  async function renewOnce(
    location: GrantorLocation,
    signal: AbortSignal,
  ): Promise<boolean> {
    const askedAt = readClocks();
    const measured = loadCount.measure(state, askedAt.monotonic);
    const renewal = composeRenewal(measured);
    const result = await peers.call(location.address, "renew", {
      message: renewal,
      timeoutMilliseconds: times.callTimeoutMilliseconds * renewalTimeoutCalls,
    });
    if (signal.aborted || result.isErr || result.value === null) return false;
    if (result.value.epoch < state.epoch) return false;
    mailbox.send({
      kind: "answered",
      askedAt,
      answer: result.value,
      reported: renewal.released,
    });
    if (measured !== null) loadCount.restart(state, monotonicNow());
    return true;
  }

  async function locate(): Promise<GrantorLocation | null> {
    // Grantors of epochs before the accepted one no longer grant here.
    unreachable &&= {
      ...unreachable,
      epoch: Math.max(unreachable.epoch, state.epoch),
    };
    return await locateGrantor({
      group: state.group,
      unreachable,
      ...options.candidates(),
      peers,
      events,
      timeoutMilliseconds: times.callTimeoutMilliseconds * 2,
    });
  }

  /**
   * Sends one renewal. While its answer is late, looks for a successor of the
   * grantor; a late answer still renews the lease.
   */
  async function renewOrLocateSuccessor(
    asked: GrantorLocation,
  ): Promise<boolean> {
    superseded = new AbortController();
    const askedAt = monotonicNow();
    const signal = superseded.signal;
    const renewal = renewOnce(asked, signal);
    const doubt = times.callTimeoutMilliseconds * lateRenewalCalls;
    const ended = await Promise.race([
      renewal.then(() => true),
      pause(doubt, signal).then(() => false),
    ]);
    if (!ended && !signal.aborted) {
      grantorLate = true;
      notifyRenewalListeners(false);
      void locateSuccessor(asked, signal);
    }
    const renewed = await Promise.race([
      renewal,
      aborted(signal).then(() => false),
    ]);
    recordRenewal(asked, {
      renewed,
      replaced: signal.aborted,
      milliseconds: Math.round(monotonicNow() - askedAt),
    });
    superseded.abort();
    return renewed;
  }

  /** Reports a renewal that was answered late or not at all. */
  function recordRenewal(
    asked: GrantorLocation,
    end: {
      readonly renewed: boolean;
      readonly replaced: boolean;
      readonly milliseconds: number;
    },
  ): void {
    const usual = times.callTimeoutMilliseconds * lateRenewalCalls;
    if (end.renewed && end.milliseconds < usual) return;
    events.record(end.renewed ? "renewal-late" : "renewal-failed", {
      group: state.group,
      epoch: asked.epoch,
      grantor: asked.address,
      milliseconds: end.milliseconds,
      ...(end.renewed ? {} : { replaced: end.replaced }),
    });
  }

  async function locateSuccessor(
    asked: GrantorLocation,
    signal: AbortSignal,
  ): Promise<void> {
    unreachable = asked;
    const found = await locate();
    if (found === null || signal.aborted || stopped.signal.aborted) return;
    if (found.epoch > asked.epoch && grantor === asked) followGrantor(found);
  }

  /** One renewal; returns the time until the next, in milliseconds. */
  async function renewalRound(): Promise<number> {
    grantor ??= await locate();
    if (grantor === null) return times.retryMilliseconds;
    const asked = grantor;
    const renewed = await renewOrLocateSuccessor(asked);
    recordLeaseChange();
    // Another grantor is followed now; the next renewal goes to it at once.
    if (!renewed && grantor !== asked) return 0;
    notifyRenewalListeners(renewed);
    if (renewed) {
      failures = 0;
      grantorLate = false;
      lastAnswerAt = monotonicNow();
      unreachable = null;
      return times.renewalMilliseconds *
        (1 - renewalJitter * options.random());
    }
    failures += 1;
    if (failures >= 2) {
      unreachable = asked;
      grantor = null;
    }
    return failures <= 2 ? 0 : times.retryMilliseconds;
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

  async function run(): Promise<void> {
    while (!stopped.signal.aborted) {
      wake = new AbortController();
      const rest = await renewalRound();
      await pause(rest, wake.signal);
    }
  }
  const running = run();

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
    hearsGrantor,
    nudge,
    table: () => state.table,
    grantor: () => isLeaseValid(state, readClocks()) ? grantor : null,
    setLeaving(value) {
      if (leaving === value) return;
      leaving = value;
      nudge();
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
      keyGrants?.reset();
      mailbox.send({ kind: "lost", slices: [...state.slices.keys()] });
    },
    async stop() {
      stopped.abort();
      wake.abort();
      superseded.abort();
      mailbox.close();
      notifyRenewalListeners(false);
      await running;
    },
  };
}
