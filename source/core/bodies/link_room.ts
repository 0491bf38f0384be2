/**
 * The answer to bodies that are larger together than the link to their target
 * carries, from many senders that know nothing of each other.
 *
 * A sender offers a body before it sends it. The agent beside the target lets
 * as many bodies come at one time as keep its link in use, so that small
 * messages find the link short. An offer whose body could not arrive in time
 * is refused before any byte of the body was sent.
 *
 * A body that takes long proves nothing: its sender may be slow. A link is in
 * full use when even the quickest body takes longer than one that found the
 * link empty. What arrives meanwhile is what the link carries; before that has
 * been seen no offer is refused for it.
 *
 * Invariants:
 * - every offer is let come or refused, exactly once;
 * - an idle link takes any body, so that a wrong measure corrects itself.
 *
 * @module
 */
import type { Transition } from "../step.ts";

/** A body that a sender would send. */
export interface BodyOffer {
  /** The name of its request. */
  readonly id: string;
  readonly bytes: number;
  /** The end of the time within which an answer has its full worth. */
  readonly objectiveAt: number;
  readonly deadlineAt: number;
}

interface WaitingOffer extends BodyOffer {
  readonly waitsUntil: number;
}

interface ComingBody {
  readonly bytes: number;
  /** A sender that has not sent it by then will not send it any more. */
  readonly expectedBy: number;
}

/** What one body took from the word to come until it was whole. */
interface Passage {
  readonly milliseconds: number;
  readonly bytes: number;
}

/** What is known of the link to one agent. */
export interface LinkRoomState {
  /** What the link carries in full use; null while that was not seen. */
  readonly bytesPerSecond: number | null;
  readonly coming: ReadonlyMap<string, ComingBody>;
  /** When each of them was let come. */
  readonly begunAt: ReadonlyMap<string, number>;
  /** In order of arrival. */
  readonly waiting: readonly WaitingOffer[];
  /** The body that was let come last when the link had run empty. */
  readonly alone: string | null;
  /** When a body came last that found no queue. */
  readonly quickAt: number;
  /** The body that was held up least; null before the first. */
  readonly quickest: Passage | null;
  /** Bodies that may come at one time while the rate is not known. */
  readonly unmeasuredBodies: number;
  /** Whether an offer was refused since a body last found no queue. */
  readonly refused: boolean;
  /** Bytes that have arrived behind a queue, since it was first seen. */
  readonly measured: { readonly bytes: number; readonly since: number };
}

/** What happens to the room on a link. */
export type LinkRoomEvent =
  | {
    readonly kind: "offered";
    readonly offer: BodyOffer;
    readonly now: number;
  }
  | { readonly kind: "arrived"; readonly id: string; readonly now: number }
  | { readonly kind: "tick"; readonly now: number };

/** What is answered to an offer. */
export type LinkRoomEffect =
  | { readonly kind: "come"; readonly id: string }
  | {
    readonly kind: "refuse";
    readonly id: string;
    /** When what goes before it has arrived, in milliseconds. */
    readonly retryAfterMilliseconds: number;
  };

type LinkRoomTransition = Transition<LinkRoomState, LinkRoomEffect>;

/** Bytes that come at one time, as time on the link. */
const comingMilliseconds = 150;
/** A body that is held up for longer has found a queue. */
const queueMilliseconds = comingMilliseconds / 2;
/** Over a link of unknown rate more may come only after quicker ones. */
const quickMilliseconds = 25;
/** Bytes that come at one time however slow the link seems. */
const leastComingBytes = 196_608;
/** Bodies that come at first over a link that has not been measured. */
const firstBodies = 4;
/**
 * A body that takes longer over such a link waits for its sender: that many
 * bodies, and no more, fill no link for so long.
 */
const slowSenderMilliseconds = 650;
/** A body must arrive within this part of its objective; the rest is work. */
const arrivalShare = 0.5;
/** An offer waits if it is likely to wait no longer than this. */
const likelyWaitMilliseconds = 350;
/** The longest wait of an offer. */
export const longestOfferWaitMilliseconds = 600;
/** How much longer than expected a body may take before it is given up. */
const patienceFactor = 3;
const leastPatienceMilliseconds = 1_000;
const leastMeasureMilliseconds = 300;
/** Of a link of unknown rate, so that a first burst makes no long queue. */
const firstMeasureMilliseconds = 150;
const smoothing = 0.25;
/** A link that holds all bodies up for so long is let run empty once. */
const emptyAgainMilliseconds = 10_000;

/** A link of which nothing is known. */
export const unknownLink: LinkRoomState = {
  bytesPerSecond: null,
  coming: new Map(),
  begunAt: new Map(),
  waiting: [],
  alone: null,
  quickAt: 0,
  quickest: null,
  unmeasuredBodies: firstBodies,
  refused: false,
  measured: { bytes: 0, since: 0 },
};

/** Applies one event. */
export function stepLinkRoom(
  state: LinkRoomState,
  event: LinkRoomEvent,
): LinkRoomTransition {
  const current = dropUnsent(state, event.now);
  switch (event.kind) {
    case "offered":
      return offered(current, event);
    case "arrived":
      return letCome(arrived(current, event), event.now);
    case "tick":
      return letCome(current, event.now);
  }
}

function offered(
  state: LinkRoomState,
  { offer, now }: LinkRoomEvent & { readonly kind: "offered" },
): LinkRoomTransition {
  if (isIdle(state)) return letCome(withWaiting(state, offer, now), now);
  const delay = emptyDelay(state);
  const ahead = bytesOnTheWay(state);
  const queue = milliseconds(state, ahead);
  const wait = queue - comingMilliseconds - delay;
  // What comes before the empty delay is over was never on the link at once.
  const arrives = now + Math.max(queue, delay) +
    milliseconds(state, offer.bytes);
  const excess = state.bytesPerSecond === null ? 0 : Math.max(
    arrives - latestArrival(offer, now),
    wait - likelyWaitMilliseconds,
  );
  if (excess > 0) {
    const free = milliseconds(state, ahead);
    return refuse(state, offer.id, Math.max(excess, free));
  }
  return letCome(withWaiting(state, offer, now), now);
}

/** A request that is late already may come only while nothing else does. */
function latestArrival(offer: BodyOffer, now: number): number {
  return now + Math.max(0, offer.objectiveAt - now) * arrivalShare;
}

function isIdle(state: LinkRoomState): boolean {
  return state.coming.size === 0 && state.waiting.length === 0;
}

function withWaiting(
  state: LinkRoomState,
  offer: BodyOffer,
  now: number,
): LinkRoomState {
  const waitsUntil = Math.min(
    now + longestOfferWaitMilliseconds,
    offer.deadlineAt,
  );
  return { ...state, waiting: [...state.waiting, { ...offer, waitsUntil }] };
}

function refuse(
  state: LinkRoomState,
  id: string,
  retryAfterMilliseconds: number,
): LinkRoomTransition {
  return {
    state: { ...state, refused: true },
    effects: [{ kind: "refuse", id, retryAfterMilliseconds }],
  };
}

/** Lets the first that wait come, as far as the link has room. */
function letCome(before: LinkRoomState, now: number): LinkRoomTransition {
  const effects: LinkRoomEffect[] = [];
  let state = before;
  for (const offer of before.waiting) {
    if (offer.waitsUntil <= now) {
      state = { ...state, waiting: without(state.waiting, offer) };
      const wait = milliseconds(state, bytesOnTheWay(state));
      effects.push({
        kind: "refuse",
        id: offer.id,
        retryAfterMilliseconds: wait,
      });
    } else if (hasRoom(state, now)) {
      state = begin(state, offer, now);
      effects.push({ kind: "come", id: offer.id });
    }
  }
  return { state, effects };
}

function hasRoom(state: LinkRoomState, now: number): boolean {
  const { coming, bytesPerSecond } = state;
  if (coming.size === 0) return true;
  if (isLongQueued(state, now)) return false;
  if (bytesPerSecond === null) {
    const slow = slowSenders(state, now);
    return coming.size - slow < state.unmeasuredBodies + slow;
  }
  const bytes = comingBytes(state);
  return bytes < leastComingBytes ||
    milliseconds(state, bytes) < comingMilliseconds + emptyDelay(state);
}

/** Senders may be slower than before, so that all bodies seem queued. */
function isLongQueued({ quickAt }: LinkRoomState, now: number): boolean {
  return now - quickAt >= emptyAgainMilliseconds;
}

/** How many bodies that come are held up by their senders. */
function slowSenders({ begunAt }: LinkRoomState, now: number): number {
  let slow = 0;
  for (const at of begunAt.values()) {
    if (now - at >= slowSenderMilliseconds) slow += 1;
  }
  return slow;
}

function begin(
  state: LinkRoomState,
  offer: WaitingOffer,
  now: number,
): LinkRoomState {
  const { id, bytes } = offer;
  const usual = milliseconds(state, comingBytes(state) + bytes) +
    emptyDelay(state);
  const patience = Math.max(leastPatienceMilliseconds, usual * patienceFactor);
  const empty = state.coming.size === 0;
  return {
    ...state,
    waiting: without(state.waiting, offer),
    coming: new Map(state.coming).set(id, {
      bytes,
      expectedBy: now + patience,
    }),
    begunAt: new Map(state.begunAt).set(id, now),
    ...(empty && isLongQueued(state, now) ? { alone: id, quickAt: now } : {}),
    measured: empty ? { bytes: 0, since: now } : state.measured,
  };
}

function without(
  waiting: readonly WaitingOffer[],
  offer: WaitingOffer,
): readonly WaitingOffer[] {
  return waiting.filter((other) => other !== offer);
}

function arrived(
  state: LinkRoomState,
  { id, now }: LinkRoomEvent & { readonly kind: "arrived" },
): LinkRoomState {
  const body = state.coming.get(id);
  if (body === undefined) return state;
  const coming = new Map(state.coming);
  const begunAt = new Map(state.begunAt);
  coming.delete(id);
  begunAt.delete(id);
  const { bytes } = body;
  const took = now - (state.begunAt.get(id) ?? now);
  const passage = { milliseconds: took, bytes };
  const known = {
    ...state,
    coming,
    begunAt,
    bytesPerSecond: atLeast(state.bytesPerSecond, bytes * 1_000 / took),
  };
  const quickest = state.alone === id && state.bytesPerSecond !== null
    ? passage
    : quicker(known, passage);
  const next = { ...known, quickest };
  const heldUp = delayOf(next, passage) - emptyDelay(next);
  if (heldUp >= queueMilliseconds) return arrivedLate(next, body, now);
  const quick = state.quickest !== null && heldUp < quickMilliseconds;
  const more = state.waiting.length === 0
    ? 0
    : (quick ? 1 : 0) + (took >= slowSenderMilliseconds ? 1 : 0);
  const unmeasuredBodies = state.unmeasuredBodies + more;
  return arrivedInTime({ ...next, unmeasuredBodies, quickAt: now }, body, now);
}

/** What a body took beyond the time of its bytes on the link. */
function delayOf(state: LinkRoomState, passage: Passage): number {
  const own = milliseconds(state, passage.bytes);
  return Math.max(0, passage.milliseconds - own);
}

/** The delay of a body that finds the link empty; 0 while not known. */
function emptyDelay(state: LinkRoomState): number {
  return state.quickest === null ? 0 : delayOf(state, state.quickest);
}

function quicker(state: LinkRoomState, passage: Passage): Passage {
  const { quickest } = state;
  return quickest === null || delayOf(state, passage) <= emptyDelay(state)
    ? passage
    : quickest;
}

/** No body is quicker than its link. */
function atLeast(rate: number | null, proved: number): number | null {
  if (rate === null || !Number.isFinite(proved)) return rate;
  return Math.max(rate, proved);
}

/** A link that holds nothing up may carry more, if more waits for it. */
function arrivedInTime(
  state: LinkRoomState,
  { bytes }: ComingBody,
  now: number,
): LinkRoomState {
  const { bytesPerSecond: rate, waiting } = state;
  const wanted = state.refused || waiting.length > 0;
  const next = { ...state, refused: false, measured: { bytes: 0, since: now } };
  if (rate === null || !wanted) return next;
  const usual = comingMilliseconds + emptyDelay(state);
  const bytesPerSecond = rate + bytes * 1_000 / usual * smoothing;
  return { ...next, bytesPerSecond };
}

/** What arrives while a queue stands is what the link carries. */
function arrivedLate(
  state: LinkRoomState,
  body: ComingBody,
  now: number,
): LinkRoomState {
  const { bytesPerSecond: rate } = state;
  const { since } = state.measured;
  const bytes = state.measured.bytes + body.bytes;
  const unmeasuredBodies = Math.max(firstBodies, state.unmeasuredBodies - 1);
  const known = { ...state, unmeasuredBodies };
  const least = rate === null
    ? firstMeasureMilliseconds
    : leastMeasureMilliseconds;
  if (now - since < least) return { ...known, measured: { bytes, since } };
  const sample = bytes * 1_000 / (now - since);
  const mean = rate ?? sample;
  return {
    ...known,
    bytesPerSecond: mean + (sample - mean) * smoothing,
    measured: { bytes: 0, since: now },
  };
}

function dropUnsent(state: LinkRoomState, now: number): LinkRoomState {
  const lost = [...state.coming.values()].some((body) =>
    body.expectedBy <= now
  );
  if (!lost) return state;
  const coming = new Map(
    [...state.coming].filter(([, body]) => body.expectedBy > now),
  );
  const begunAt = new Map(
    [...state.begunAt].filter(([id]) => coming.has(id)),
  );
  return { ...state, coming, begunAt };
}

function comingBytes(state: LinkRoomState): number {
  let bytes = 0;
  for (const body of state.coming.values()) bytes += body.bytes;
  return bytes;
}

function bytesOnTheWay(state: LinkRoomState): number {
  return state.waiting.reduce(
    (sum, offer) => sum + offer.bytes,
    comingBytes(state),
  );
}

/** How long the link is busy with so many bytes; 0 while not measured. */
function milliseconds(state: LinkRoomState, bytes: number): number {
  return state.bytesPerSecond === null
    ? 0
    : bytes * 1_000 / state.bytesPerSecond;
}
