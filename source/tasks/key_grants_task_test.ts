import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { Result } from "true-myth";
import { testRenewal } from "../../tests/test_grantor.ts";
import { peerSchemas } from "../adapters/schemas.ts";
import type { KeyRange } from "../core/ownership/key_ranges.ts";
import { maxHandoverCharacters } from "../core/ownership/renewal.ts";
import type { OwnershipTable } from "../core/ownership/table.ts";
import { fencingNumber, noToken } from "../core/ownership/token.ts";
import type { KeyServer, KeyServerFault } from "../ports/key_server.ts";
import { addMilliseconds } from "../core/clocks.ts";
import type { KeyGrantsTask } from "./key_grants.ts";
import { startKeyGrants } from "./key_grants_task.ts";
import { readClocks } from "./time.ts";

const keys = { count: 64 };

const table: OwnershipTable = {
  group: "timetable.0",
  version: { epoch: 1, sequence: 9 },
  holders: [],
  owners: [],
  hashedSlices: 4,
  isolatedKeys: [],
};

/** More slices than orders may be pending at once. */
const longTable: OwnershipTable = { ...table, hashedSlices: 32 };

type Order = {
  readonly kind: "grant" | "release";
  readonly range: KeyRange;
  readonly handover: string | null;
  readonly renumberings?: number;
  readonly answer: (fault: KeyServerFault | null) => void;
};

/** A key server that answers each order when the test calls its `answer`. */
function manualServer(handedOver = "handed-over") {
  const orders: Order[] = [];
  let openedConnections = 0;
  function order<Value>(
    entry: Omit<Order, "answer">,
    value: Value,
  ): Promise<Result<Value, KeyServerFault>> {
    return new Promise((resolve) => {
      orders.push({
        ...entry,
        answer: (fault) =>
          resolve(fault === null ? Result.ok(value) : Result.err(fault)),
      });
    });
  }
  const server: KeyServer = {
    openedConnections: () => openedConnections,
    grant: (range, { handover, renumberings }) =>
      order(
        {
          kind: "grant",
          range,
          handover,
          renumberings: renumberings(openedConnections) ?? assert.fail(),
        },
        null,
      ),
    release: (range) =>
      order<string | null>(
        { kind: "release", range, handover: null },
        handedOver,
      ),
  };
  return {
    orders,
    server,
    openConnections(count: number) {
      openedConnections += count;
    },
  };
}

function start(server: KeyServer, superseded: number[] = []): KeyGrantsTask {
  return startKeyGrants({
    keyServer: server,
    keys,
    times: {
      order: { maxDelayMilliseconds: 12_000, maxClockSlowShare: 0.02 },
      retryMilliseconds: 1,
      renewBeforeMilliseconds: 10_000,
      maxHoldMilliseconds: 10_000,
    },
    events: { record: () => undefined },
    targetLives: () => true,
    onSuperseded: (slice) => superseded.push(slice),
  });
}

function grant(slice: number, sequence: number, handover?: string) {
  return { slice, token: { epoch: 1, sequence }, handover };
}

async function settle(): Promise<void> {
  for (let turn = 0; turn < 20; turn += 1) await Promise.resolve();
}

function view(...grants: ReturnType<typeof grant>[]) {
  return { grants, table, leaseEndsAt: addMilliseconds(readClocks(), 4_000) };
}

function longView(...grants: ReturnType<typeof grant>[]) {
  return { ...view(...grants), table: longTable };
}

describe("orders to a target", () => {
  describe("to hold keys", () => {
    it("combine adjacent slices under the newest token", () => {
      const { orders, server } = manualServer();
      start(server).hold(view(grant(0, 1), grant(1, 3), grant(3, 2)));
      assert.deepEqual(orders.map(({ range }) => range), [
        {
          first: 0,
          last: 31,
          token: { epoch: 1, sequence: 3 },
          slices: [0, 1],
        },
        { first: 48, last: 63, token: { epoch: 1, sequence: 2 }, slices: [3] },
      ]);
    });

    it("are not sent when the lease has ended while the host was suspended", () => {
      const { orders, server } = manualServer();
      const { leaseEndsAt, ...rest } = view(grant(0, 1));
      const suspended = { ...leaseEndsAt, wall: leaseEndsAt.wall - 8_000 };
      start(server).hold({ ...rest, leaseEndsAt: suspended });
      assert.deepEqual(orders, []);
    });

    it("confirm a slice only once the target has answered", async () => {
      const { orders, server } = manualServer();
      const task = start(server);
      task.hold(view(grant(0, 1)));
      assert.ok(!task.isConfirmed(0));
      orders[0]?.answer(null);
      await settle();
      assert.ok(task.isConfirmed(0));
    });

    it("carry the handover state of each slice separately", () => {
      const { orders, server } = manualServer();
      start(server).hold(view(grant(0, 1, "a"), grant(1, 3, "b")));
      assert.deepEqual(orders.map(({ handover }) => handover), ["a", "b"]);
    });
  });

  /**
   * Many slices are granted at once, in views that follow each other closely.
   */
  describe("to hold many slices, while more are granted", () => {
    const handed = (count: number) =>
      longView(
        ...Array.from(
          { length: count },
          (_, slice) => grant(slice, slice + 1, `from-${slice}`),
        ),
      );

    it("are limited in number, and none is sent twice before its answer", async () => {
      const { orders, server } = manualServer();
      const task = start(server);
      for (let count = 1; count <= 32; count += 1) task.hold(handed(count));
      assert.equal(orders.length, 8);
      for (let answered = 0; answered < 32; answered += 1) {
        orders[answered]?.answer(null);
        await settle();
      }
      assert.equal(orders.length, 32);
      assert.equal(new Set(orders.map(({ range }) => range.first)).size, 32);
    });
  });

  describe("to release all keys", () => {
    it("cover every key with a fence below that of the epoch's first grant", async () => {
      const { orders, server } = manualServer();
      const empty = start(server).emptyTarget(2);
      const range = orders[0]?.range;
      assert.deepEqual([range?.first, range?.last], [0, 63]);
      const fence = fencingNumber(range?.token ?? noToken, "release");
      assert.ok(
        fence > fencingNumber({ epoch: 1, sequence: 2 ** 23 }, "grant"),
      );
      assert.ok(fence < fencingNumber({ epoch: 2, sequence: 1 }, "grant"));
      orders[0]?.answer(null);
      assert.equal(await empty, true);
    });

    it("are answered before any order to hold is sent", async () => {
      const { orders, server } = manualServer();
      const task = start(server);
      void task.emptyTarget(1);
      task.hold(view(grant(0, 1)));
      assert.deepEqual(orders.map(({ kind }) => kind), ["release"]);
      orders[0]?.answer({ kind: "unanswered", detail: "timeout" });
      await settle();
      assert.deepEqual(orders.map(({ kind }) => kind), ["release", "grant"]);
    });
  });

  // Guards against two lives of a target with keys under the same number
  // (OWNER): a renewal reached the next life before its first report.
  describe("to hold keys again, after connections have been opened", () => {
    const holdTwice = async (opened: number) => {
      const { orders, server, openConnections } = manualServer();
      const superseded: number[] = [];
      const task = start(server, superseded);
      task.hold(view(grant(0, 1)));
      orders[0]?.answer(null);
      await settle();
      openConnections(opened);
      task.hold(view(grant(0, 1)));
      await settle();
      const numbers = orders.map(({ kind, range, renumberings }) =>
        fencingNumber(range.token, kind, renumberings)
      );
      return { numbers, superseded };
    };

    it("carry a higher number, below that of a release", async () => {
      const { numbers: [first = 0, second = 0] } = await holdTwice(1);
      assert.ok(first < second);
      assert.ok(second < fencingNumber({ epoch: 1, sequence: 1 }, "release"));
    });

    it("carry the same number while none has been opened", async () => {
      const { numbers: [first, second] } = await holdTwice(0);
      assert.equal(first, second);
    });

    it("are not sent without a further number, and the slice is given back", async () => {
      const { numbers, superseded } = await holdTwice(256);
      assert.equal(numbers.length, 1);
      assert.deepEqual(superseded, [0]);
    });
  });

  describe("to hold keys again", () => {
    it("carry no token older than that of an earlier, longer range", async () => {
      const { orders, server } = manualServer();
      const task = start(server);
      task.hold(view(grant(0, 1), grant(1, 3)));
      orders[0]?.answer(null);
      await settle();
      task.hold(view(grant(0, 1)));
      assert.deepEqual(orders[1]?.range.token, { epoch: 1, sequence: 3 });
    });
  });

  /**
   * Another key becomes busy and is given the slice that an isolated key had.
   */
  describe("for an isolated key that loses its own slice", () => {
    const isolating = (key: string): OwnershipTable => ({
      ...table,
      isolatedKeys: [{ key, slice: 4, base: 0 }],
    });

    it("release the slice it returns to with a fence above that of its own grant", async () => {
      const { orders, server } = manualServer();
      const task = start(server);
      const former = view(grant(0, 1), grant(4, 9, "handed-over"));
      task.hold({ ...former, table: isolating("5") });
      const alone = orders.find(({ range }) => range.first === 5);
      for (const order of orders) order.answer(null);
      await settle();
      void task.surrender(grant(0, 1), isolating("7"));
      await settle();
      const release = orders.find(({ kind, range }) =>
        kind === "release" && range.first <= 5 && range.last >= 5
      );
      assert.ok(alone !== undefined && release !== undefined);
      assert.ok(
        fencingNumber(release.range.token, "release") >
          fencingNumber(alone.range.token, "grant"),
      );
    });

    it("confirm the slice for the other key only once that is held too", async () => {
      const { orders, server } = manualServer();
      const task = start(server);
      task.hold({ ...view(grant(4, 9)), table: isolating("5") });
      orders[0]?.answer(null);
      await settle();
      assert.ok(task.isConfirmed(4));
      task.hold({ ...view(grant(4, 12)), table: isolating("7") });
      assert.ok(!task.isConfirmed(4));
    });
  });

  describe("for a slice from which a key was isolated", () => {
    const isolated: OwnershipTable = {
      ...table,
      isolatedKeys: [{ key: "5", slice: 4, base: 0 }],
    };

    it("are sent for both of its ranges, and confirm it once both are answered", async () => {
      const { orders, server } = manualServer();
      const task = start(server);
      task.hold({ ...view(grant(0, 1)), table: isolated });
      assert.deepEqual(
        orders.map(({ range }) => [range.first, range.last]),
        [[0, 4], [6, 15]],
      );
      orders[0]?.answer(null);
      await settle();
      assert.ok(!task.isConfirmed(0));
      orders[1]?.answer(null);
      await settle();
      assert.ok(task.isConfirmed(0));
      assert.equal(orders.length, 2);
    });
  });

  describe("for a key that is newly isolated", () => {
    it("release it with a fence above that of the slice it was in", async () => {
      const { orders, server } = manualServer();
      const task = start(server);
      task.hold(view(grant(0, 1), grant(1, 20)));
      orders[0]?.answer(null);
      await settle();
      const isolated: OwnershipTable = {
        ...table,
        isolatedKeys: [{ key: "5", slice: 4, base: 0 }],
      };
      void task.surrender(grant(4, 12), isolated);
      await settle();
      const release = orders.find(({ kind }) => kind === "release");
      assert.ok(release !== undefined && orders[0] !== undefined);
      assert.deepEqual([release.range.first, release.range.last], [5, 5]);
      assert.ok(
        fencingNumber(release.range.token, "release") >
          fencingNumber(orders[0].range.token, "grant"),
      );
    });
  });

  describe("to release a slice", () => {
    it("wait for a pending order to hold it", async () => {
      const { orders, server } = manualServer();
      const task = start(server);
      task.hold(view(grant(0, 1), grant(1, 3)));
      const given = task.surrender(grant(0, 1), table);
      await settle();
      assert.deepEqual(orders.map(({ kind }) => kind), ["grant"]);
      orders[0]?.answer(null);
      await settle();
      assert.deepEqual(orders.map(({ kind }) => kind), ["grant", "release"]);
      orders[1]?.answer(null);
      assert.deepEqual(await given, { handover: "handed-over" });
    });

    // Guards against a server that loses its lease (SHORT): the grantor refused
    // renewals that carried a longer text than it accepts.
    for (const [excess, expected] of [[0, "kept"], [1, "dropped"]] as const) {
      it(`have a handover of ${excess} characters too many ${expected}`, async () => {
        const handedOver = "h".repeat(maxHandoverCharacters + excess);
        const { orders, server } = manualServer(handedOver);
        const given = start(server).surrender(grant(0, 1), table);
        await settle();
        orders[0]?.answer(null);
        const { handover } = await given;
        assert.equal(handover, expected === "kept" ? handedOver : undefined);
        const released = [{ ...grant(0, 1), handover }];
        const renewal = testRenewal("host/1", { released });
        assert.ok(peerSchemas.renew.message.safeParse(renewal).success);
      });
    }

    it("carry a fence above every order to hold that covered it", async () => {
      const { orders, server } = manualServer();
      const task = start(server);
      task.hold(view(grant(0, 1), grant(1, 3)));
      orders[0]?.answer(null);
      await settle();
      void task.surrender(grant(0, 1), table);
      await settle();
      const [held, released] = orders;
      assert.ok(held !== undefined && released !== undefined);
      assert.ok(
        fencingNumber(released.range.token, "release") >
          fencingNumber(held.range.token, "grant"),
      );
    });

    it("do not let a refused older order supersede its other slices", async () => {
      const { orders, server } = manualServer();
      const superseded: number[] = [];
      const task = start(server, superseded);
      task.hold(view(grant(0, 1), grant(1, 3)));
      void task.surrender(grant(0, 1), table);
      orders[0]?.answer({ kind: "superseded" });
      await settle();
      assert.deepEqual(superseded, []);
    });
  });
});
