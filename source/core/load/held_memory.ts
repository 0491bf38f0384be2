/**
 * Decides what a process does about the memory that it holds for its callers:
 * requests that have been read, and answers that have not been taken. It first
 * stops reading from connections that hold much, then refuses their requests,
 * and closes the connection that holds most, so that ordinary callers still get
 * answers.
 *
 * @module
 */
import type { Transition } from "../step.ts";

/** Bounds of what is held. */
export interface HeldMemoryBounds {
  /** For all connections together, in bytes. */
  readonly totalBytes: number;
  /** Above this, a connection is not read from, in bytes. */
  readonly connectionBytes: number;
}

/** What is held for one connection. */
export interface HeldByConnection {
  readonly requestBytes: number;
  readonly answerBytes: number;
  /** Of its requests that have been started and not answered. */
  readonly startedBytes: number;
  /**
   * Answers that the system has accepted for sending since nothing was held for
   * the connection. The caller may not have received them.
   */
  readonly sentBytes: number;
  /** Whether reading from it has been stopped. */
  readonly stopped: boolean;
}

/** What is held for the connections for which anything is held. */
export interface HeldMemory {
  readonly totalBytes: number;
  /** Of the requests that have been started and not answered. */
  readonly startedBytes: number;
  readonly connections: ReadonlyMap<number, HeldByConnection>;
}

/** Nothing is held. */
export const nothingHeld: HeldMemory = {
  totalBytes: 0,
  startedBytes: 0,
  connections: new Map(),
};

/** What has happened on a connection; amounts are in bytes. */
export type HeldMemoryEvent =
  | {
    readonly kind: "request-read";
    readonly connection: number;
    readonly bytes: number;
  }
  | {
    readonly kind: "request-started";
    readonly connection: number;
    readonly bytes: number;
  }
  /** A request that was started has its answer, or has failed. */
  | {
    readonly kind: "request-ended";
    readonly connection: number;
    readonly bytes: number;
  }
  | {
    readonly kind: "answer-held";
    readonly connection: number;
    readonly bytes: number;
  }
  /** An answer has been taken or given up, with its request. */
  | {
    readonly kind: "released";
    readonly connection: number;
    readonly requestBytes: number;
    readonly answerBytes: number;
    /** Whether the system has accepted all of the answer for sending. */
    readonly sent: boolean;
  }
  | { readonly kind: "closed"; readonly connection: number };

/** What is done about it. */
export type HeldMemoryEffect =
  /** The request that has been read is not run. It is not held. */
  | { readonly kind: "refuse"; readonly connection: number }
  | { readonly kind: "stop-reading"; readonly connection: number }
  | { readonly kind: "read-on"; readonly connection: number }
  | {
    readonly kind: "close";
    readonly connection: number;
    readonly bytes: number;
  };

type Step = Transition<HeldMemory, HeldMemoryEffect>;

/**
 * Bytes that the system has received for a connection that is not read from.
 * Linux begins with a receive buffer of this size.
 */
const unreadBytes = 131_072;
/** The most that Linux keeps of what a connection has to send. */
const maxSendBufferBytes = 4_194_304;
/**
 * A connection that holds this much less than the one that holds most has its
 * requests accepted, at the cost of that one.
 */
const ordinaryShare = 1 / 2;
/** A connection that holds no more is read from, whatever the others hold. */
const alwaysReadBytes = 131_072;
/** Reading goes on once this share of the bounds is held. */
const readOnShare = 1 / 2;
/**
 * The share of the total that all requests that run may take when one of a
 * connection that holds much is started. As many as the memory can hold would take all slots of the
 * targets, and ordinary clients would be refused there.
 */
const startedShare = 1 / 4;
/**
 * Requests of a connection that holds no more are started, whatever the others
 * hold.
 */
const alwaysStartedBytes = alwaysReadBytes;

const nothingByConnection: HeldByConnection = {
  requestBytes: 0,
  answerBytes: 0,
  startedBytes: 0,
  sentBytes: 0,
  stopped: false,
};

/** Applies an event. */
export function stepHeldMemory(
  state: HeldMemory,
  event: HeldMemoryEvent,
  bounds: HeldMemoryBounds,
): Step {
  switch (event.kind) {
    case "request-read":
      return readRequest(state, event, bounds);
    case "request-started":
      return changeStarted(state, event.connection, event.bytes);
    case "request-ended":
      return changeStarted(state, event.connection, -event.bytes);
    case "answer-held": {
      const held = heldBy(state, event.connection);
      const answerBytes = held.answerBytes + event.bytes;
      const grown = replace(state, event.connection, { ...held, answerBytes });
      return stopIfLarge(closeLargest(grown, bounds), event.connection, bounds);
    }
    case "released":
      return release(state, event, bounds);
    case "closed": {
      const closed = replace(state, event.connection, nothingByConnection);
      return readOn({ state: closed, effects: [] }, bounds);
    }
  }
}

/** A request that has been read and not started. */
export interface UnstartedRequest {
  readonly connection: number;
  readonly bytes: number;
}

/**
 * Why a request must not be started yet: its answer would wait behind those
 * that have not been taken, or requests that take much run already. Null if it
 * may be started.
 */
export function reasonNotToStart(
  state: HeldMemory,
  { connection, bytes }: UnstartedRequest,
  bounds: HeldMemoryBounds,
): "answers-unread" | "memory-full" | null {
  const held = heldBy(state, connection);
  if (held.answerBytes > bounds.connectionBytes) return "answers-unread";
  if (held.requestBytes + held.answerBytes <= alwaysStartedBytes) return null;
  const fits = state.startedBytes === 0 ||
    state.startedBytes + bytes <= bounds.totalBytes * startedShare;
  return fits ? null : "memory-full";
}

/** What is held for a connection, in bytes. */
export function bytesHeldBy(state: HeldMemory, connection: number): number {
  return bytesOf(heldBy(state, connection));
}

function readRequest(
  state: HeldMemory,
  event: HeldMemoryEvent & { readonly kind: "request-read" },
  bounds: HeldMemoryBounds,
): Step {
  const { connection } = event;
  const held = heldBy(state, connection);
  const requestBytes = held.requestBytes + event.bytes;
  const grown = replace(state, connection, { ...held, requestBytes });
  if (grown.totalBytes <= bounds.totalBytes) {
    return stopIfLarge({ state: grown, effects: [] }, connection, bounds);
  }
  const most = largest(state);
  const own = bytesHeldBy(grown, connection);
  if (most === null || own > most.bytes * ordinaryShare) {
    const stopped = stop({ state, effects: [] }, connection);
    const effects = [
      { kind: "refuse", connection } as const,
      ...stopped.effects,
    ];
    return { state: stopped.state, effects };
  }
  return closeLargest(grown, bounds);
}

function release(
  state: HeldMemory,
  event: HeldMemoryEvent & { readonly kind: "released" },
  bounds: HeldMemoryBounds,
): Step {
  const held = state.connections.get(event.connection);
  // A connection that was closed holds nothing any more.
  if (held === undefined) return { state, effects: [] };
  const released = replace(state, event.connection, {
    ...held,
    requestBytes: Math.max(0, held.requestBytes - event.requestBytes),
    answerBytes: Math.max(0, held.answerBytes - event.answerBytes),
    sentBytes: held.sentBytes + (event.sent ? event.answerBytes : 0),
  });
  return readOn({ state: released, effects: [] }, bounds);
}

function changeStarted(
  state: HeldMemory,
  connection: number,
  bytes: number,
): Step {
  const held = state.connections.get(connection);
  // A connection that was closed holds nothing any more.
  if (held === undefined) return { state, effects: [] };
  const startedBytes = Math.max(0, held.startedBytes + bytes);
  const changed = replace(state, connection, { ...held, startedBytes });
  return { state: changed, effects: [] };
}

/** Closes the connections that hold most until the total is within its bound. */
function closeLargest(state: HeldMemory, bounds: HeldMemoryBounds): Step {
  let step: Step = { state, effects: [] };
  while (step.state.totalBytes > bounds.totalBytes) {
    const most = largest(step.state);
    if (most === null) return step;
    step = {
      state: replace(step.state, most.connection, nothingByConnection),
      effects: [...step.effects, { kind: "close", ...most }],
    };
  }
  return step;
}

/**
 * Stops reading from a connection that holds more than it may, or more than its
 * part of what is left once half of the total is held.
 */
function stopIfLarge(
  step: Step,
  connection: number,
  bounds: HeldMemoryBounds,
): Step {
  const { totalBytes, connections } = step.state;
  const left = bounds.totalBytes - totalBytes;
  const part = left < bounds.totalBytes / 2
    ? left / connections.size
    : bounds.connectionBytes;
  const bound = Math.max(
    alwaysReadBytes,
    Math.min(part, bounds.connectionBytes),
  );
  return bytesHeldBy(step.state, connection) > bound
    ? stop(step, connection)
    : step;
}

function stop(step: Step, connection: number): Step {
  const held = heldBy(step.state, connection);
  if (held.stopped) return step;
  const stopped = { ...held, stopped: true };
  return {
    state: replace(step.state, connection, stopped),
    effects: [...step.effects, { kind: "stop-reading", connection }],
  };
}

/** Reads on from connections that hold little again. */
function readOn(step: Step, bounds: HeldMemoryBounds): Step {
  const full = step.state.totalBytes > bounds.totalBytes * readOnShare;
  return [...step.state.connections].reduce<Step>(
    (reading, [connection, held]) => {
      const bytes = bytesWithoutUnread(held);
      const bound = full ? alwaysReadBytes : bounds.connectionBytes;
      if (!held.stopped || bytes > bound * readOnShare) return reading;
      const state = replace(reading.state, connection, {
        ...held,
        stopped: false,
      });
      const effect = { kind: "read-on", connection } as const;
      return { state, effects: [...reading.effects, effect] };
    },
    step,
  );
}

function heldBy(state: HeldMemory, connection: number): HeldByConnection {
  return state.connections.get(connection) ?? nothingByConnection;
}

function bytesOf(held: HeldByConnection): number {
  return bytesWithoutUnread(held) + (held.stopped ? unreadBytes : 0);
}

function bytesWithoutUnread(held: HeldByConnection): number {
  // An answer waits because those before it fill the system's buffer. Without
  // one, the process can't know what the caller has received.
  const unreceived = held.answerBytes > 0
    ? Math.min(held.sentBytes, maxSendBufferBytes)
    : 0;
  return held.requestBytes + held.answerBytes + unreceived;
}

function largest(
  state: HeldMemory,
): { readonly connection: number; readonly bytes: number } | null {
  let most: { connection: number; bytes: number } | null = null;
  for (const [connection, held] of state.connections) {
    const bytes = bytesOf(held);
    if (bytes > (most?.bytes ?? 0)) most = { connection, bytes };
  }
  return most;
}

function replace(
  state: HeldMemory,
  connection: number,
  held: HeldByConnection,
): HeldMemory {
  const connections = new Map(state.connections);
  const former = heldBy(state, connection);
  const bytes = bytesOf(held);
  const next = bytes === 0 ? nothingByConnection : held;
  if (bytes === 0) connections.delete(connection);
  else connections.set(connection, next);
  return {
    totalBytes: state.totalBytes + bytes - bytesOf(former),
    startedBytes: state.startedBytes + next.startedBytes - former.startedBytes,
    connections,
  };
}

/**
 * A connection whose requests were refused for lack of memory this many times
 * in succession, each sent before the one before it was answered, is closed.
 * Reading and refusing what it sends next would take the process's time.
 */
const maxRefusedAhead = 8;

/**
 * Whether a connection is closed of which so many requests were refused that
 * were sent before earlier ones were answered.
 */
export function isRefusedTooOften(refusedAhead: number): boolean {
  return refusedAhead >= maxRefusedAhead;
}

/** A request, as far as its memory depends on it. */
export interface RequestSize {
  readonly headerBytes: number;
  readonly lines: number;
  /** The part of its body that is buffered. */
  readonly bodyBytes: number;
}

/** What a request takes besides its header lines and its body. */
const requestBytes = 4_096;
/**
 * What a header line takes besides its own bytes, in its strings and in the
 * objects that have it: the received lines, the fields, and those to send.
 */
const lineBytes = 350;

/** An estimate of the memory that a request takes until it is answered. */
export function memoryOfRequest(size: RequestSize): number {
  return requestBytes + 2 * size.headerBytes + size.lines * lineBytes +
    size.bodyBytes;
}

/** An open connection, as far as it may be closed for another one. */
export interface OpenConnection {
  readonly connection: number;
  /** Whether a request of it has no answer yet. */
  readonly busy: boolean;
}

/**
 * The connection to close when there are too many: of those without a request
 * the one that has been open longest, else the newest. `open` has the oldest
 * first.
 */
export function connectionToClose(
  open: readonly OpenConnection[],
): number | null {
  const idle = open.find(({ busy }) => !busy);
  return (idle ?? open.at(-1))?.connection ?? null;
}
