/**
 * The queues of waiting requests, one for each rank.
 *
 * Invariants:
 * - a queue is in the order that was in force when its last request arrived;
 * - a request waits in at most one queue, and only once.
 *
 * @module
 */
import type { AdmissionState, WaitingRequest } from "./state.ts";

/** The number of waiting requests of all ranks. */
export function countWaiting(state: AdmissionState): number {
  return state.waiting.reduce((sum, queue) => sum + queue.length, 0);
}

/** The waiting requests of a rank. */
export function queueOf(
  state: AdmissionState,
  rank: number,
): readonly WaitingRequest[] {
  return state.waiting[rank] ?? [];
}

/** Replaces the waiting requests of a rank. */
export function withQueue(
  state: AdmissionState,
  rank: number,
  queue: readonly WaitingRequest[],
): AdmissionState {
  return { ...state, waiting: state.waiting.with(rank, queue) };
}

/** By which time the requests of a queue are ordered. */
export type OrderOf = (
  request: Pick<WaitingRequest, "statedObjectiveAt" | "deadlineAt">,
) => number;

/**
 * Callers that return have less time left than new ones. Ordered by deadline,
 * they kept new requests waiting until those had to be refused too, and nearly
 * all requests were refused twice.
 */
export const byObjective: OrderOf = ({ statedObjectiveAt }) =>
  statedObjectiveAt;

/** The order while a target can run all requests. */
export const byDeadline: OrderOf = ({ deadlineAt }) => deadlineAt;

/** Adds a request to the queue of its rank, in this order. */
export function enqueue(
  state: AdmissionState,
  rank: number,
  entry: WaitingRequest,
  orderOf: OrderOf,
): AdmissionState {
  const queue = inOrder(queueOf(state, rank), orderOf);
  return withQueue(state, rank, insert(queue, entry, orderOf));
}

/** The same requests, unless the order has changed since the last one. */
function inOrder(
  queue: readonly WaitingRequest[],
  orderOf: OrderOf,
): readonly WaitingRequest[] {
  const isOrdered = queue.every((entry, index) => {
    const next = queue[index + 1];
    return next === undefined || orderOf(entry) <= orderOf(next);
  });
  return isOrdered
    ? queue
    : queue.toSorted((one, other) => orderOf(one) - orderOf(other));
}

/** Removes a request from the queue of its rank. */
export function dequeue(
  state: AdmissionState,
  rank: number,
  entry: WaitingRequest,
): AdmissionState {
  const others = queueOf(state, rank).filter((one) => one !== entry);
  return withQueue(state, rank, others);
}

/** Removes a request that no longer has to be served, wherever it waits. */
export function withoutRequest(
  state: AdmissionState,
  id: number,
): AdmissionState {
  const waiting = state.waiting.map((queue) =>
    queue.some((entry) => entry.id === id)
      ? queue.filter((entry) => entry.id !== id)
      : queue
  );
  return { ...state, waiting };
}

/** Moves the waiting requests of removed ranks to the last one. */
export function resizeQueues(
  queues: AdmissionState["waiting"],
  count: number,
): AdmissionState["waiting"] {
  const resized = Array.from(
    { length: count },
    (_, rank) => queues[rank] ?? [],
  );
  for (const queue of queues.slice(count)) {
    const last = resized[count - 1] ?? [];
    resized[count - 1] = queue.reduce<readonly WaitingRequest[]>(
      (sum, entry) => insert(sum, entry, byObjective),
      last,
    );
  }
  return resized;
}

function insert(
  queue: readonly WaitingRequest[],
  entry: WaitingRequest,
  orderOf: OrderOf,
): readonly WaitingRequest[] {
  const index = queue.findIndex((other) => orderOf(other) > orderOf(entry));
  return index < 0 ? [...queue, entry] : queue.toSpliced(index, 0, entry);
}
