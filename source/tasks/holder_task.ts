/**
 * The task that holds slices for the target beside this agent: it renews the
 * lease, answers new grantors, and says what may be served.
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
  beginHolder,
  decideHold,
  type HolderState,
  type HoldRefusal,
  leaseHolds,
  reportGrants,
  stepHolder,
} from "../core/ownership/holder.ts";
import {
  type OwnerAsOf,
  ownerAsOf,
  type OwnershipTable,
  type PlaceKey,
  sliceOfKey,
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
import type { KeyGrantsTask } from "./key_grants_task.ts";
import { locateGrantor } from "./locate_grantor.ts";
import { ask, openMailbox } from "./mailbox.ts";
import { aborted, monotonicNow, pause, readClocks } from "./time.ts";

/** Durations of holding. */
export interface HolderTimes {
  readonly renewalMilliseconds: number;
  readonly retryMilliseconds: number;
  readonly callTimeoutMilliseconds: number;
  /** A lease ends this much early, for clocks that run apart. */
  readonly marginMilliseconds: number;
}

/** The right to run one request on a key. */
export interface Permit {
  readonly slice: number;
  readonly token: FencingToken;
  readonly leaseEndsAtWall: number;
  /** Whether the lease covers the slice still. */
  stillHolds(): boolean;
  /** To be called once, when nothing of the request runs any more. */
  finish(): void;
}

/** A running holder. */
export interface HolderTask {
  /** Admits one request on a key, or says why not. */
  admit(key: string): Permit | HoldRefusal;
  /** Who else owns the key, as far as is known here. */
  otherOwner(key: string): OwnerAsOf | null;
  /** Whether a request on this key would be admitted now. */
  owns(key: string): boolean;
  takeEpoch(claim: EpochClaim): Promise<TakeoverAnswer | null>;
  /** Whether the grantor answers, asking it unless it has just answered. */
  hearsGrantor(): Promise<GrantorReachability>;
  nudge(): void;
  table(): OwnershipTable;
  grantor(): GrantorLocation | null;
  /** Tells the grantor whether the target leaves. */
  setLeaving(value: boolean): void;
  /** Gives up all slices; resolves when the grantor knows it, or in vain. */
  releaseAll(
    options: { readonly timeoutMilliseconds: number },
  ): Promise<boolean>;
  heldSlices(): number;
  /** The target's process was replaced: nothing that it held is held now. */
  targetReplaced(): void;
  stop(): Promise<void>;
}

/** Starts telling the target what it holds. */
export type StartKeyGrants = (options: {
  /** The target refuses the token of this slice for good. */
  readonly onSuperseded: (slice: number) => void;
}) => KeyGrantsTask;

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

/** A part of each rest, so that servers don't all renew at one time. */
const renewalJitter = 0.2;
/** Calls' times after which a renewal without an answer is late. */
const lateRenewalCalls = 2;
/** Calls' times for which a renewal is waited for. */
const renewalTimeoutCalls = 4;

/** Starts holding for one agent in its group. */
export function startHolder(options: {
  readonly agent: Agent & { readonly group: string };
  readonly times: HolderTimes;
  readonly peers: Peers;
  readonly events: Events;
  readonly place: PlaceKey;
  /** What the target carries, relative to the others of its service. */
  readonly weight: () => number;
  /** Returns a number from 0 up to but not including 1. */
  readonly random: () => number;
  /** Null for a target that needs not be told which keys it holds. */
  readonly startKeyGrants: StartKeyGrants | null;
  /** Whether the target takes no new work when the holder begins. */
  readonly leaving: boolean;
  /** Agents to ask for the grantor, in order. */
  readonly candidates: () => {
    readonly members: readonly Address[];
    readonly grantors: readonly Address[];
  };
}): HolderTask {
  const { agent, times, peers, events, place } = options;
  const stopped = new AbortController();
  let state = beginHolder({
    id: agent.id,
    group: agent.group,
    marginMilliseconds: times.marginMilliseconds,
    targetSurrenders: options.startKeyGrants !== null,
  });
  const keyGrants = options.startKeyGrants?.({
    onSuperseded: (slice) => mailbox.send({ kind: "release", slices: [slice] }),
  }) ?? null;
  /** Slices that the target is being told to give up. */
  const surrendering = new Set<number>();
  let grantor: GrantorLocation | null = null;
  /** The grantor that was signal up last, until another has answered. */
  let unreachable: GrantorLocation | null = null;
  let failures = 0;
  /** Whether the grantor's answer to a renewal is late. */
  let grantorLate = false;
  /** Ends the wait for a renewal once another grantor has come. */
  let replaced = new AbortController();
  /** When a grantor was last heard, on the monotonic clock. */
  let lastAnswerAt = -Infinity;
  /** Wait for the end of the renewal under way, or of the next one. */
  const renewalListeners = new Set<(hears: boolean) => void>();
  let { leaving } = options;
  let wake = new AbortController();
  const loadCount = startLoadCount({ place, now: monotonicNow() });
  /** What is known of the target's being empty since this process began. */
  let emptiness: "unknown" | "asked" | "empty" | "held" = "unknown";
  let hadLease = false;

  function updateState(next: HolderState): void {
    const released = next.released.length > state.released.length;
    state = next;
    if (keyGrants !== null) surrenderReleasing(keyGrants);
    if (released) nudge();
  }

  /** Every request comes by here twice, and rarely ends a release. */
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

  /** Tells the target what the lease covers now. */
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

  /** A new grantor need not wait for what an emptied target once held. */
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

  /** Asks the grantor, unless it has answered within the last call's time. */
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
    replaced.abort();
  }

  /** Counts no answer that comes after the signal. */
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
    // An earlier grantor than the one accepted grants nothing here any more.
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
   * Renews with one call at a time. A grantor whose answer is late is doubted,
   * and another looked for, but a late answer gives the lease as well.
   */
  async function renewOrLocateSuccessor(
    asked: GrantorLocation,
  ): Promise<boolean> {
    replaced = new AbortController();
    const askedAt = monotonicNow();
    const signal = replaced.signal;
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
    replaced.abort();
    return renewed;
  }

  /** Says what became of a renewal that was not answered as usual. */
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

  /** One round; brings the time until the next. */
  async function renewalRound(): Promise<number> {
    grantor ??= await locate();
    if (grantor === null) return times.retryMilliseconds;
    const asked = grantor;
    const renewed = await renewOrLocateSuccessor(asked);
    recordLeaseChange();
    // Another grantor has come meanwhile, and has to be asked itself.
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
    const holds = leaseHolds(state, readClocks());
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

  return {
    admit(key) {
      const slice = sliceOfKey(state.table, key, place);
      const decision = decideHold(state, slice, readClocks());
      if (decision.kind === "refused") return decision.reason;
      if (keyGrants?.isConfirmed(slice) === false) return "moving";
      mailbox.send({ kind: "admitted", slice });
      loadCount.add(key, slice);
      let finished = false;
      return {
        slice,
        token: decision.token,
        leaseEndsAtWall: state.leaseEndsAt.wall,
        stillHolds: () =>
          state.slices.has(slice) && leaseHolds(state, readClocks()),
        finish() {
          if (finished) return;
          finished = true;
          mailbox.send({ kind: "finished", slice });
        },
      };
    },
    otherOwner(key) {
      const slice = sliceOfKey(state.table, key, place);
      const owner = ownerAsOf(state.table, slice);
      return owner?.holder.id === agent.id ? null : owner;
    },
    owns(key) {
      const slice = sliceOfKey(state.table, key, place);
      return decideHold(state, slice, readClocks()).kind === "owned" &&
        keyGrants?.isConfirmed(slice) !== false;
    },
    takeEpoch: (claim) =>
      ask<Message, TakeoverAnswer | null>(
        mailbox,
        (answer) => ({ kind: "takeEpoch", claim, answer }),
      ),
    hearsGrantor,
    nudge,
    table: () => state.table,
    grantor: () => leaseHolds(state, readClocks()) ? grantor : null,
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
      replaced.abort();
      mailbox.close();
      notifyRenewalListeners(false);
      await running;
    },
  };
}
