/**
 * Admission of large bodies over the link to one agent, where many senders that
 * know nothing of each other can together offer more than the link carries.
 *
 * A sender offers a body before it sends it. The agent local to the target
 * admits as many bodies at one time as keep its link in use, so that the queue
 * on the link stays short for small messages. An offer whose body could not
 * arrive in time is refused before any byte of the body has been sent.
 *
 * A slow body alone doesn't show that the link is full: its sender may be slow.
 * The link counts as full when even the least delayed body takes longer than
 * one that met an empty link. What arrives during that time measures the rate
 * of the link. Until a rate has been measured, no offer is refused because of
 * it.
 *
 * Invariants:
 * - every offer is admitted or refused, exactly once;
 * - an idle link admits any body, so that a wrong measurement corrects itself.
 *
 * @module
 */
import type { Transition } from "../step.ts";

/** A body that a sender asks to send. Times are monotonic milliseconds. */
export interface BodyOffer {
  /** The id of its request. */
  readonly id: string;
  readonly bytes: number;
  /** The end of the time within which an answer has its full worth. */
  readonly objectiveAt: number;
  readonly deadlineAt: number;
}

interface WaitingOffer extends BodyOffer {
  readonly waitsUntil: number;
}

interface AdmittedBody {
  readonly bytes: number;
  /** A body that has not arrived by then is no longer expected. */
  readonly expectedBy: number;
}

/** One body and the time from its admission until all of it had arrived. */
interface Transfer {
  readonly milliseconds: number;
  readonly bytes: number;
}

/** The state of the link to one agent. */
export interface LinkCapacityState {
  /** The measured rate of the link when full; null until measured. */
  readonly bytesPerSecond: number | null;
  readonly admitted: ReadonlyMap<string, AdmittedBody>;
  /** When each of the admitted bodies was admitted. */
  readonly admittedAt: ReadonlyMap<string, number>;
  /** Offers that have not been answered, in order of arrival. */
  readonly waiting: readonly WaitingOffer[];
  /**
   * The last body that was admitted on its own after the link had been drained,
   * to measure the base delay again.
   */
  readonly emptyLinkProbe: string | null;
  /** When a body last arrived without having met a queue. */
  readonly lastUnqueuedAt: number;
  /** The transfer with the smallest delay; null before the first. */
  readonly leastDelayed: Transfer | null;
  /** How many bodies may be admitted at one time while the rate is unknown. */
  readonly maxUnmeasuredBodies: number;
  /** Whether an offer was refused since a body last met no queue. */
  readonly refused: boolean;
  /** Bytes that have arrived while a queue stood, since it was first seen. */
  readonly sample: { readonly bytes: number; readonly since: number };
}

/** An event on a link. */
export type LinkCapacityEvent =
  | {
    readonly kind: "offered";
    readonly offer: BodyOffer;
    readonly now: number;
  }
  | { readonly kind: "arrived"; readonly id: string; readonly now: number }
  | { readonly kind: "tick"; readonly now: number };

/** The answer to an offer. */
export type LinkCapacityEffect =
  | { readonly kind: "come"; readonly id: string }
  | {
    readonly kind: "refuse";
    readonly id: string;
    /** Until everything ahead of it has arrived, in milliseconds. */
    readonly retryAfterMilliseconds: number;
  };

type LinkCapacityTransition = Transition<LinkCapacityState, LinkCapacityEffect>;

/** Bytes that are admitted at one time, as time on the link. */
const maxAdmittedMilliseconds = 150;
/** A body that is delayed for longer has met a queue. */
const queuedDelayMilliseconds = maxAdmittedMilliseconds / 2;
/**
 * While the rate is unknown, a body must be delayed by less than this to raise
 * the number of bodies that are admitted at one time.
 */
const shortDelayMilliseconds = 25;
/** Up to this many bytes a further body is admitted at any measured rate. */
const minAdmittedBytes = 196_608;
/** Bodies admitted at one time at first, before the rate has been measured. */
const initialUnmeasuredBodies = 4;
/**
 * A body that takes longer while the rate is unknown is taken to wait for its
 * sender: so few bodies don't keep a link busy for so long.
 */
const slowSenderMilliseconds = 650;
/**
 * A body must arrive within this part of its objective; the target needs the
 * rest.
 */
const arrivalShare = 0.5;
/** An offer is refused at once if its expected wait is longer. */
const maxExpectedWaitMilliseconds = 350;
/** An offer that has waited for this long is refused. */
export const maxOfferWaitMilliseconds = 600;
/** A body is no longer expected after this multiple of its expected time. */
const timeoutFactor = 3;
const minTimeoutMilliseconds = 1_000;
/** The shortest time over which the rate is measured again. */
const minSampleMilliseconds = 300;
/**
 * The same for the first measurement: shorter, so that the queue of a first
 * burst stays short.
 */
const minFirstSampleMilliseconds = 150;
const smoothingFactor = 0.25;
/**
 * Once all bodies have met a queue for so long, the link is drained, and the
 * next body measures the base delay again.
 */
const maxQueuedMilliseconds = 10_000;

/** A link before any body has been offered. */
export const unmeasuredLink: LinkCapacityState = {
  bytesPerSecond: null,
  admitted: new Map(),
  admittedAt: new Map(),
  waiting: [],
  emptyLinkProbe: null,
  lastUnqueuedAt: 0,
  leastDelayed: null,
  maxUnmeasuredBodies: initialUnmeasuredBodies,
  refused: false,
  sample: { bytes: 0, since: 0 },
};

/** Applies one event, and returns the answers to offers that it leads to. */
export function stepLinkCapacity(
  state: LinkCapacityState,
  event: LinkCapacityEvent,
): LinkCapacityTransition {
  const current = dropOverdue(state, event.now);
  switch (event.kind) {
    case "offered":
      return handleOffer(current, event);
    case "arrived":
      return admitWaiting(handleArrival(current, event), event.now);
    case "tick":
      return admitWaiting(current, event.now);
  }
}

function handleOffer(
  state: LinkCapacityState,
  { offer, now }: LinkCapacityEvent & { readonly kind: "offered" },
): LinkCapacityTransition {
  if (isIdle(state)) return admitWaiting(enqueueOffer(state, offer, now), now);
  const delay = baseDelay(state);
  const ahead = outstandingBytes(state);
  const queue = linkMilliseconds(state, ahead);
  const wait = queue - maxAdmittedMilliseconds - delay;
  // Bodies that are admitted within the base delay overlap in it: the queue and
  // the delay don't add up.
  const arrives = now + Math.max(queue, delay) +
    linkMilliseconds(state, offer.bytes);
  const excess = state.bytesPerSecond === null ? 0 : Math.max(
    arrives - latestArrival(offer, now),
    wait - maxExpectedWaitMilliseconds,
  );
  if (excess > 0) {
    const free = linkMilliseconds(state, ahead);
    return refuse(state, offer.id, Math.max(excess, free));
  }
  return admitWaiting(enqueueOffer(state, offer, now), now);
}

/** An offer past its objective must arrive now, so it needs an idle link. */
function latestArrival(offer: BodyOffer, now: number): number {
  return now + Math.max(0, offer.objectiveAt - now) * arrivalShare;
}

function isIdle(state: LinkCapacityState): boolean {
  return state.admitted.size === 0 && state.waiting.length === 0;
}

function enqueueOffer(
  state: LinkCapacityState,
  offer: BodyOffer,
  now: number,
): LinkCapacityState {
  const waitsUntil = Math.min(
    now + maxOfferWaitMilliseconds,
    offer.deadlineAt,
  );
  return { ...state, waiting: [...state.waiting, { ...offer, waitsUntil }] };
}

function refuse(
  state: LinkCapacityState,
  id: string,
  retryAfterMilliseconds: number,
): LinkCapacityTransition {
  return {
    state: { ...state, refused: true },
    effects: [{ kind: "refuse", id, retryAfterMilliseconds }],
  };
}

/** Refuses offers that waited too long, and admits others up to capacity. */
function admitWaiting(
  before: LinkCapacityState,
  now: number,
): LinkCapacityTransition {
  const effects: LinkCapacityEffect[] = [];
  let state = before;
  for (const offer of before.waiting) {
    if (offer.waitsUntil <= now) {
      state = { ...state, waiting: without(state.waiting, offer) };
      const wait = linkMilliseconds(state, outstandingBytes(state));
      effects.push({
        kind: "refuse",
        id: offer.id,
        retryAfterMilliseconds: wait,
      });
    } else if (hasCapacity(state, now)) {
      state = admit(state, offer, now);
      effects.push({ kind: "come", id: offer.id });
    }
  }
  return { state, effects };
}

function hasCapacity(state: LinkCapacityState, now: number): boolean {
  const { admitted, bytesPerSecond } = state;
  if (admitted.size === 0) return true;
  if (isQueuedTooLong(state, now)) return false;
  if (bytesPerSecond === null) {
    const slow = countSlowSenders(state, now);
    return admitted.size - slow < state.maxUnmeasuredBodies + slow;
  }
  const bytes = admittedBytes(state);
  return bytes < minAdmittedBytes ||
    linkMilliseconds(state, bytes) < maxAdmittedMilliseconds + baseDelay(state);
}

/**
 * Whether all bodies have seemed queued for so long that the base delay may be
 * wrong: senders may have become slower.
 */
function isQueuedTooLong(
  { lastUnqueuedAt }: LinkCapacityState,
  now: number,
): boolean {
  return now - lastUnqueuedAt >= maxQueuedMilliseconds;
}

/** How many admitted bodies are taken to wait for their senders. */
function countSlowSenders(
  { admittedAt }: LinkCapacityState,
  now: number,
): number {
  let slow = 0;
  for (const at of admittedAt.values()) {
    if (now - at >= slowSenderMilliseconds) slow += 1;
  }
  return slow;
}

function admit(
  state: LinkCapacityState,
  offer: WaitingOffer,
  now: number,
): LinkCapacityState {
  const { id, bytes } = offer;
  const expected = linkMilliseconds(state, admittedBytes(state) + bytes) +
    baseDelay(state);
  const timeout = Math.max(minTimeoutMilliseconds, expected * timeoutFactor);
  const empty = state.admitted.size === 0;
  return {
    ...state,
    waiting: without(state.waiting, offer),
    admitted: new Map(state.admitted).set(id, {
      bytes,
      expectedBy: now + timeout,
    }),
    admittedAt: new Map(state.admittedAt).set(id, now),
    ...(empty && isQueuedTooLong(state, now)
      ? { emptyLinkProbe: id, lastUnqueuedAt: now }
      : {}),
    sample: empty ? { bytes: 0, since: now } : state.sample,
  };
}

function without(
  waiting: readonly WaitingOffer[],
  offer: WaitingOffer,
): readonly WaitingOffer[] {
  return waiting.filter((other) => other !== offer);
}

function handleArrival(
  state: LinkCapacityState,
  { id, now }: LinkCapacityEvent & { readonly kind: "arrived" },
): LinkCapacityState {
  const body = state.admitted.get(id);
  if (body === undefined) return state;
  const admitted = new Map(state.admitted);
  const admittedAt = new Map(state.admittedAt);
  admitted.delete(id);
  admittedAt.delete(id);
  const { bytes } = body;
  const elapsed = now - (state.admittedAt.get(id) ?? now);
  const transfer = { milliseconds: elapsed, bytes };
  const known = {
    ...state,
    admitted,
    admittedAt,
    bytesPerSecond: raiseRate(state.bytesPerSecond, bytes * 1_000 / elapsed),
  };
  const leastDelayed =
    state.emptyLinkProbe === id && state.bytesPerSecond !== null
      ? transfer
      : lessDelayed(known, transfer);
  const next = { ...known, leastDelayed };
  const queued = delayOf(next, transfer) - baseDelay(next);
  if (queued >= queuedDelayMilliseconds) return afterQueue(next, body, now);
  const short = state.leastDelayed !== null &&
    queued < shortDelayMilliseconds;
  const increase = state.waiting.length === 0
    ? 0
    : (short ? 1 : 0) + (elapsed >= slowSenderMilliseconds ? 1 : 0);
  const maxUnmeasuredBodies = state.maxUnmeasuredBodies + increase;
  return afterNoQueue(
    { ...next, maxUnmeasuredBodies, lastUnqueuedAt: now },
    body,
    now,
  );
}

/** The time of a transfer beyond that of its bytes on the link. */
function delayOf(state: LinkCapacityState, transfer: Transfer): number {
  const own = linkMilliseconds(state, transfer.bytes);
  return Math.max(0, transfer.milliseconds - own);
}

/** The delay of a body that meets an empty link; 0 until measured. */
function baseDelay(state: LinkCapacityState): number {
  return state.leastDelayed === null ? 0 : delayOf(state, state.leastDelayed);
}

function lessDelayed(state: LinkCapacityState, transfer: Transfer): Transfer {
  const { leastDelayed } = state;
  return leastDelayed === null || delayOf(state, transfer) <= baseDelay(state)
    ? transfer
    : leastDelayed;
}

/** The link is at least as fast as any body that came over it. */
function raiseRate(rate: number | null, proved: number): number | null {
  if (rate === null || !Number.isFinite(proved)) return rate;
  return Math.max(rate, proved);
}

/**
 * A body met no queue. The link may carry more than measured, so the rate is
 * raised if an offer was refused or waits.
 */
function afterNoQueue(
  state: LinkCapacityState,
  { bytes }: AdmittedBody,
  now: number,
): LinkCapacityState {
  const { bytesPerSecond: rate, waiting } = state;
  const hasDemand = state.refused || waiting.length > 0;
  const next = { ...state, refused: false, sample: { bytes: 0, since: now } };
  if (rate === null || !hasDemand) return next;
  const expected = maxAdmittedMilliseconds + baseDelay(state);
  const bytesPerSecond = rate + bytes * 1_000 / expected * smoothingFactor;
  return { ...next, bytesPerSecond };
}

/** A body met a queue: what arrives meanwhile measures the rate of the link. */
function afterQueue(
  state: LinkCapacityState,
  body: AdmittedBody,
  now: number,
): LinkCapacityState {
  const { bytesPerSecond: rate } = state;
  const { since } = state.sample;
  const bytes = state.sample.bytes + body.bytes;
  const maxUnmeasuredBodies = Math.max(
    initialUnmeasuredBodies,
    state.maxUnmeasuredBodies - 1,
  );
  const known = { ...state, maxUnmeasuredBodies };
  const min = rate === null
    ? minFirstSampleMilliseconds
    : minSampleMilliseconds;
  if (now - since < min) return { ...known, sample: { bytes, since } };
  const measured = bytes * 1_000 / (now - since);
  const mean = rate ?? measured;
  return {
    ...known,
    bytesPerSecond: mean + (measured - mean) * smoothingFactor,
    sample: { bytes: 0, since: now },
  };
}

function dropOverdue(state: LinkCapacityState, now: number): LinkCapacityState {
  const lost = [...state.admitted.values()].some((body) =>
    body.expectedBy <= now
  );
  if (!lost) return state;
  const admitted = new Map(
    [...state.admitted].filter(([, body]) => body.expectedBy > now),
  );
  const admittedAt = new Map(
    [...state.admittedAt].filter(([id]) => admitted.has(id)),
  );
  return { ...state, admitted, admittedAt };
}

function admittedBytes(state: LinkCapacityState): number {
  let bytes = 0;
  for (const body of state.admitted.values()) bytes += body.bytes;
  return bytes;
}

function outstandingBytes(state: LinkCapacityState): number {
  return state.waiting.reduce(
    (sum, offer) => sum + offer.bytes,
    admittedBytes(state),
  );
}

/** How long the link is busy with so many bytes; 0 until measured. */
function linkMilliseconds(state: LinkCapacityState, bytes: number): number {
  return state.bytesPerSecond === null
    ? 0
    : bytes * 1_000 / state.bytesPerSecond;
}
