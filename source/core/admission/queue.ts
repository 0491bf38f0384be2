/**
 * The queues of waiting requests, one for each rank.
 *
 * Invariants:
 * - a queue is ordered by the ends of objectives;
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

/** Adds a request to the queue of its rank. */
export function enqueue(
  state: AdmissionState,
  rank: number,
  entry: WaitingRequest,
): AdmissionState {
  return withQueue(state, rank, insertByObjective(queueOf(state, rank), entry));
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
    resized[count - 1] = queue.reduce(insertByObjective, last);
  }
  return resized;
}

/**
 * Inserts by objective and not by deadline: callers that return have less time
 * left than new ones. Ordered by deadline, they kept new requests waiting until
 * those had to be refused too, and nearly all requests were refused twice.
 */
function insertByObjective(
  queue: readonly WaitingRequest[],
  entry: WaitingRequest,
): readonly WaitingRequest[] {
  const index = queue.findIndex((other) => other.orderAt > entry.orderAt);
  return index < 0 ? [...queue, entry] : queue.toSpliced(index, 0, entry);
}
