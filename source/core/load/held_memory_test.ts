import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import {
  connectionToClose,
  type HeldMemory,
  type HeldMemoryEvent,
  memoryOfRequest,
  nothingHeld,
  reasonNotToStart,
  stepHeldMemory,
} from "./held_memory.ts";

const bounds = { totalBytes: 25_000_000, connectionBytes: 2_500_000 };
const largeRequest = memoryOfRequest({
  headerBytes: 16_384,
  lines: 4_000,
  bodyBytes: 0,
});
const ordinaryRequest = memoryOfRequest({
  headerBytes: 500,
  lines: 10,
  bodyBytes: 0,
});

/** Applies events in turn; returns the last state and all effects. */
function play(events: readonly HeldMemoryEvent[], from = nothingHeld) {
  let state: HeldMemory = from;
  const effects = events.flatMap((event) => {
    const step = stepHeldMemory(state, event, bounds);
    state = step.state;
    return step.effects;
  });
  return { state, effects };
}

function read(connection: number, bytes: number): HeldMemoryEvent {
  return { kind: "request-read", connection, bytes };
}

describe("the memory held for callers", () => {
  describe("of which many send large requests", () => {
    const flood = Array.from(
      { length: 1_000 },
      (_, index) => read(index % 100, largeRequest),
    );
    const full = play(flood);

    // Guards against a limit that ordinary callers meet because of others.
    it("has requests of an ordinary caller accepted", () => {
      const ordinary = Array.from(
        { length: 10 },
        () => read(1_000, ordinaryRequest),
      );
      const { effects } = play(ordinary, full.state);
      const own = effects.filter(({ connection }) => connection === 1_000);
      assert.deepEqual(own, []);
    });

    it("is not read on from the connections that hold much", () => {
      const stopped = [...full.state.connections.values()]
        .filter(({ stopped }) => stopped);
      assert.equal(stopped.length, full.state.connections.size);
    });

    // Guards against connections from which nothing is read ever again.
    it("is read on from each connection once it is released", () => {
      const released = [...full.state.connections].map((
        [connection, { requestBytes, answerBytes }],
      ): HeldMemoryEvent => ({
        kind: "released",
        connection,
        requestBytes,
        answerBytes,
        sent: true,
      }));
      const { state, effects } = play(released, full.state);
      const readOn = effects.filter(({ kind }) => kind === "read-on");
      assert.equal(readOn.length, full.state.connections.size);
      assert.deepEqual(state, nothingHeld);
    });
  });

  describe("of which requests that take much have been started", () => {
    /** Reads requests of many connections, and starts those that may start. */
    const busy = Array.from({ length: 16 }, (_, index) => index).reduce(
      (state, connection) => {
        const request = { connection, bytes: largeRequest };
        const next = play([read(connection, largeRequest)], state).state;
        return reasonNotToStart(next, request, bounds) === null
          ? play([{ kind: "request-started", ...request }], next).state
          : next;
      },
      nothingHeld,
    );
    const large = { connection: 15, bytes: largeRequest };

    // Guards against large requests that take all slots of the targets, where
    // ordinary clients are then refused.
    it("has a quarter of its total started, and more later", () => {
      assert.ok(busy.startedBytes > bounds.totalBytes / 8);
      assert.ok(busy.startedBytes <= bounds.totalBytes / 4);
      assert.equal(reasonNotToStart(busy, large, bounds), "memory-full");
      const ended = play([
        { kind: "request-ended", connection: 0, bytes: largeRequest },
      ], busy);
      assert.equal(reasonNotToStart(ended.state, large, bounds), null);
      const closed = play([{ kind: "closed", connection: 0 }], busy);
      assert.equal(reasonNotToStart(closed.state, large, bounds), null);
    });

    it("has requests of an ordinary caller started", () => {
      const connection = 1_000;
      const { state } = play([read(connection, ordinaryRequest)], busy);
      const ordinary = { connection, bytes: ordinaryRequest };
      assert.equal(reasonNotToStart(state, ordinary, bounds), null);
    });
  });

  describe("for a caller that reads no answers", () => {
    const connection = 1;
    const bytes = 1_000_000;
    const answer: readonly HeldMemoryEvent[] = [
      read(connection, ordinaryRequest),
      { kind: "answer-held", connection, bytes },
    ];
    const sent: HeldMemoryEvent = {
      kind: "released",
      connection,
      requestBytes: ordinaryRequest,
      answerBytes: bytes,
      sent: true,
    };
    const whole = ordinaryRequest + bytes;

    // Guards against send buffers of many callers that exceed the memory of
    // the machine, since they aren't memory of the process.
    it("has what the system has to send, up to its limit", () => {
      const waits = play([...answer, ...answer, sent]).state;
      assert.equal(waits.totalBytes, whole + bytes);
      const more = Array.from({ length: 5 }, () => [...answer, sent]).flat();
      const full = play(more, waits).state;
      // Reading has stopped, and what is unread counts too.
      assert.equal(full.totalBytes, whole + 4_194_304 + 131_072);
    });

    it("has nothing once no answer waits", () => {
      const { state } = play([...answer, ...answer, sent, sent]);
      assert.deepEqual(state, nothingHeld);
    });
  });

  describe("whatever callers do", () => {
    const connection = fc.integer({ min: 1, max: 8 });
    const bytes = fc.integer({ min: 1, max: 9_000_000 });
    const event: fc.Arbitrary<HeldMemoryEvent> = fc.oneof(
      fc.record({ kind: fc.constant("request-read"), connection, bytes }),
      fc.record({ kind: fc.constant("answer-held"), connection, bytes }),
      fc.record({
        kind: fc.constant("released"),
        connection,
        requestBytes: bytes,
        answerBytes: bytes,
        sent: fc.boolean(),
      }),
      fc.record({ kind: fc.constant("closed"), connection }),
    );

    // What is unread on connections that are not read from counts too, and
    // comes on top when reading stops.
    it("stays within its bound", () => {
      const mostUnread = 8 * 131_072;
      fc.assert(fc.property(fc.array(event, { maxLength: 60 }), (events) => {
        const { state } = play(events);
        assert.ok(state.totalBytes <= bounds.totalBytes + mostUnread);
        assert.ok(state.totalBytes >= 0);
      }));
    });
  });
});

describe("a process with too many connections", () => {
  // Guards against clients that open many and keep others from connecting.
  it("closes the oldest of those without a request", () => {
    const open = [
      { connection: 1, busy: true },
      { connection: 2, busy: false },
      { connection: 3, busy: false },
    ];
    assert.equal(connectionToClose(open), 2);
  });

  it("closes the newest when all have requests", () => {
    const open = [1, 2].map((connection) => ({ connection, busy: true }));
    assert.equal(connectionToClose(open), 2);
  });
});
