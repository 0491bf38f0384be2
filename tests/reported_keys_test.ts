import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, it } from "node:test";
import { pauseClock, type PausedClock } from "./test_clock.ts";
import fc from "fast-check";
import { fitsAnswer, formatKeyAssignment } from "../platform/key_reports.ts";
import {
  type HeartbeatKeys,
  type KeyAnswer,
  type KeyLists,
  startHeartbeatKeys,
} from "../standins/heartbeat_keys.ts";
import { addMilliseconds } from "../source/core/clocks.ts";
import type { KeyReport } from "../source/core/ownership/reported_keys.ts";
import type { Grant } from "../source/core/ownership/renewal.ts";
import type { OwnershipTable } from "../source/core/ownership/table.ts";
import {
  type ReportedKeysTask,
  startReportedKeys,
} from "../source/tasks/reported_keys_task.ts";
import { readClocks } from "../source/tasks/time.ts";

const keys = { count: 64 };
const leaseMilliseconds = 4_000;

const table: OwnershipTable = {
  group: "orders.0",
  version: { epoch: 1, sequence: 1 },
  holders: [],
  owners: [],
  hashedSlices: 8,
  isolatedKeys: [{ key: "5", slice: 8, base: 0 }],
};

interface Started {
  readonly task: ReportedKeysTask;
  readonly superseded: readonly number[];
}

function start(fits = fitsAnswer, count = keys.count): Started {
  const superseded: number[] = [];
  const task = startReportedKeys({
    keys: { count },
    settings: {
      maxHoldMilliseconds: leaseMilliseconds,
      maxClockSlowShare: 0.02,
      answerMilliseconds: 1_000,
      checkMilliseconds: 50,
    },
    fits,
    events: { record: () => undefined },
    onSuperseded: (slice) => superseded.push(slice),
  });
  return { task, superseded };
}

function grant(slice: number, sequence: number, handover?: string): Grant {
  return { slice, token: { epoch: 1, sequence }, handover };
}

function hold(task: ReportedKeysTask, ...grants: readonly Grant[]): void {
  const leaseEndsAt = addMilliseconds(readClocks(), leaseMilliseconds);
  task.hold({ grants, table, leaseEndsAt });
}

function reportOf({ holds, freed }: KeyLists): KeyReport {
  return {
    holds: holds.map(([first, last, fence]) => ({ first, last, fence })),
    freed: freed.map(([first, last, handover]) => ({ first, last, handover })),
  };
}

function answerTo(task: ReportedKeysTask, said: KeyLists): KeyAnswer {
  return JSON.parse(formatKeyAssignment(task.answer(reportOf(said))));
}

const nothing: KeyLists = { holds: [], freed: [] };

describe("a target that learns its keys from answers to its heartbeats", () => {
  let clock: PausedClock;
  beforeEach(() => {
    clock = pauseClock();
  });
  afterEach(() => clock.uninstall());

  describe("is answered", () => {
    it("nothing before there is a lease, so that it keeps what it holds", () => {
      const { task } = start();
      assert.deepEqual(answerTo(task, { holds: [[0, 7, 3]], freed: [] }), {});
    });

    it("with adjacent keys as one row that ends before the lease", () => {
      const { task } = start();
      hold(task, grant(1, 4), grant(2, 9));
      const { holds, hold_time } = answerTo(task, nothing);
      assert.deepEqual(holds?.map(([first, last]) => [first, last]), [[8, 23]]);
      assert.ok(parseInt(hold_time ?? "") * 1.02 <= leaseMilliseconds);
      assert.ok(task.isConfirmed(1) && task.isConfirmed(2));
    });

    it("with the rows that it holds unchanged, and a handover until it holds", () => {
      const { task } = start();
      hold(task, grant(1, 4, "from-other"), grant(2, 9));
      const rows = answerTo(task, { holds: [[16, 23, 40]], freed: [] }).holds;
      const [gained, kept] = rows ?? [];
      assert.deepEqual(kept, [16, 23, 40, ""]);
      assert.equal(gained?.[3], "from-other");
      const shown = [[8, 15, gained?.[2] ?? 0], [16, 23, 40]] as const;
      const again = answerTo(task, { holds: shown, freed: [] }).holds;
      assert.deepEqual(again?.map(([, , , handover]) => handover), ["", ""]);
    });

    it("with disjoint rows, also while it still runs requests on replaced ones", () => {
      const { task } = start();
      hold(task, grant(1, 4), grant(2, 9), grant(3, 10));
      const holds = [[8, 15, 40], [8, 31, 50], [16, 23, 45]] as const;
      assert.deepEqual(answerTo(task, { holds, freed: [] }).holds, [
        [8, 31, 50, ""],
      ]);
    });

    it("to release everything once the lease has ended", () => {
      const { task } = start();
      hold(task, grant(1, 4));
      clock.tick(leaseMilliseconds);
      assert.deepEqual(
        answerTo(task, { holds: [[8, 15, 9]], freed: [] }).holds,
        [],
      );
      assert.ok(!task.isConfirmed(1));
    });

    it("with its own handover for keys that it has released and gets again", () => {
      const { task } = start();
      hold(task, grant(1, 4));
      answerTo(task, { holds: [], freed: [[8, 23, "own"]] });
      hold(task, grant(1, 12));
      const [row] = answerTo(task, nothing).holds ?? [];
      assert.equal(row?.[3], "own");
    });
  });

  describe("whose answer would be too long", () => {
    const rowsFit = (most: number) => (rows: readonly unknown[]) =>
      rows.length <= most;

    it("is sent adjacent rows as one, under the newest number", () => {
      const { task } = start(rowsFit(1));
      hold(task, grant(1, 4), grant(2, 9));
      const rows = answerTo(task, {
        holds: [[8, 15, 40], [16, 23, 50]],
        freed: [],
      }).holds;
      assert.deepEqual(rows, [[8, 23, 50, ""]]);
    });

    it("keeps what it holds, and the slice left out is given back", () => {
      const { task, superseded } = start(rowsFit(1));
      hold(task, grant(1, 4), grant(5, 9));
      const held = [[8, 15, 40]] as const;
      for (let count = 0; count < 5; count += 1) {
        const rows = answerTo(task, { holds: held, freed: [] }).holds;
        assert.deepEqual(rows, [[8, 15, 40, ""]]);
        assert.ok(!task.isConfirmed(5));
      }
      assert.deepEqual(superseded, [5]);
    });

    it("never is, with as many rows as a division of all keys may give", () => {
      const alternate = Array.from({ length: 256 }, (_, index) => ({
        first: index * 256,
        last: index * 256 + 127,
        fence: 2 ** 40 + index,
        handover: "5c0e7a21d94b36f8",
      }));
      const { task: all } = start(fitsAnswer, 65_536);
      const leaseEndsAt = addMilliseconds(readClocks(), leaseMilliseconds);
      const grants = alternate.map((_, index) =>
        grant(index * 2, 2 ** 20 + index, "5c0e7a21d94b36f8")
      );
      const divided = { ...table, hashedSlices: 512, isolatedKeys: [] };
      all.hold({ grants, table: divided, leaseEndsAt });
      const text = formatKeyAssignment(all.answer({ holds: [], freed: [] }));
      assert.ok(text.length <= 4_096 && text.length > 3_500, `${text.length}`);
    });
  });

  describe("that is to release a slice", () => {
    it("serves it until an answer leaves it out, and hands its state over", async () => {
      const { task } = start();
      hold(task, grant(1, 4));
      const [row] = answerTo(task, nothing).holds ?? [];
      const fence = row?.[2] ?? 0;
      const given = task.surrender(grant(1, 4), table);
      assert.ok(task.isServedUntilReleased(1));
      assert.deepEqual(
        answerTo(task, { holds: [[8, 15, fence]], freed: [] }).holds,
        [],
      );
      assert.ok(!task.isServedUntilReleased(1));
      answerTo(task, { holds: [], freed: [[8, 15, "state"]] });
      assert.deepEqual(await given, { handover: "state" });
    });

    it("counts as holding it while an answer may still take effect", async () => {
      const { task } = start();
      hold(task, grant(1, 4));
      answerTo(task, nothing);
      let released = false;
      void task.surrender(grant(1, 4), table).then(() => released = true);
      answerTo(task, nothing);
      await clock.tickAsync(leaseMilliseconds - 200);
      assert.ok(!released);
      await clock.tickAsync(400);
      assert.ok(released);
    });
  });

  describe("that is to be emptied", () => {
    it("is known to hold nothing only by a report after the answer", async () => {
      const { task } = start();
      let emptied = false;
      void task.emptyTarget(2).then(() => emptied = true);
      assert.deepEqual(answerTo(task, nothing).holds, []);
      await clock.tickAsync(1_000);
      assert.ok(!emptied);
      answerTo(task, nothing);
      await Promise.resolve();
      assert.ok(emptied);
    });

    it("is known to hold nothing after the longest hold, if it reports nothing", async () => {
      const { task } = start();
      let emptied = false;
      void task.emptyTarget(2).then(() => emptied = true);
      await clock.tickAsync(leaseMilliseconds - 100);
      assert.ok(!emptied);
      await clock.tickAsync(400);
      assert.ok(emptied);
    });
  });

  describe("with messages that are lost, late or doubled", () => {
    it("never holds a key that another holds, and all keys are held finally", async () => {
      await fc.assert(
        fc.asyncProperty(
          fc.array(fate, { minLength: 20, maxLength: 60 }),
          fc.array(incident, { maxLength: 24 }),
          (fates, incidents) => runSchedule(clock, { fates, incidents }),
        ),
        { numRuns: 60, seed: 28 },
      );
    });
  });
});

/** What happens to one heartbeat and its answer; delays in milliseconds. */
const fate = fc.record({
  copies: fc.constantFrom(0, 1, 1, 1, 2),
  delay: fc.constantFrom(0, 0, 50, 600, 2_500),
  answerDelay: fc.constantFrom(0, 0, 50, 950, 1_200),
});
type Fate = { copies: number; delay: number; answerDelay: number };

const incident = fc.record({
  kind: fc.constantFrom("move", "move", "move", "work", "target", "agent"),
  at: fc.integer({ min: 0, max: 200 }),
  slice: fc.integer({ min: 0, max: 8 }),
  host: fc.integer({ min: 0, max: 2 }),
});
type Incident = { kind: string; at: number; slice: number; host: number };

const stepMilliseconds = 50;
const disturbedSteps = 200;
const calmSteps = 160;
const heartbeatSteps = 16;
const acknowledgeMilliseconds = 1_000;

/** One host of the schedule: its agent's task and its target's keys. */
interface Host {
  started: Started;
  target: HeartbeatKeys;
  process: number;
  sequence: number;
  seen: number;
}

/** Three hosts, and a grantor that moves slices between them. */
async function runSchedule(
  clock: PausedClock,
  plan: { fates: readonly Fate[]; incidents: readonly Incident[] },
): Promise<void> {
  const hosts = [0, 1, 2].map((): Host => ({
    started: start(),
    target: startHeartbeatKeys("t"),
    process: 0,
    sequence: 0,
    seen: 0,
  }));
  const slices = Array.from({ length: 9 }, (_, slice) => ({
    owner: slice % 3,
    granted: grant(slice, slice + 1),
    moving: false,
  }));
  let sequence = 10;
  let beats = 0;
  let calm = false;

  function renewAll(): void {
    hosts.forEach(({ started }, host) =>
      hold(
        started.task,
        ...slices.filter(({ owner, moving }) => owner === host && !moving)
          .map(({ granted }) => granted),
      )
    );
  }

  function regrant(slice: number, owner: number, handover?: string): void {
    sequence += 1;
    slices[slice] = {
      owner,
      granted: grant(slice, sequence, handover),
      moving: false,
    };
    renewAll();
  }

  function move(slice: number, to: number): void {
    const entry = slices[slice];
    if (entry === undefined || entry.moving) return;
    entry.moving = true;
    const { task } = hosts[entry.owner]!.started;
    void task.surrender(entry.granted, table).then(({ handover }) => {
      // An agent that was restarted meanwhile has got the slice back.
      if (slices[slice] === entry) regrant(slice, to, handover);
    });
  }

  function beat(host: Host): void {
    beats += 1;
    const { copies, delay, answerDelay } = calm
      ? { copies: 1, delay: 0, answerDelay: 0 }
      : plan.fates[beats % plan.fates.length]!;
    host.sequence += 1;
    const { target, process } = host;
    const sent = { sequence: host.sequence, sentAt: Date.now() };
    const said = target.report(sent.sequence, sent.sentAt);
    for (let copy = 0; copy < copies; copy += 1) {
      setTimeout(() => {
        if (process !== host.process || sent.sequence <= host.seen) return;
        host.seen = sent.sequence;
        const answer = answerTo(host.started.task, said);
        setTimeout(() => {
          const now = Date.now();
          if (now - sent.sentAt >= acknowledgeMilliseconds) return;
          target.apply(answer, { ...sent, now });
        }, answerDelay);
      }, delay + copy * stepMilliseconds);
    }
  }

  function perform({ kind, slice, host: index }: Incident): void {
    const host = hosts[index]!;
    if (kind === "move") return move(slice, index);
    if (kind === "work") {
      const { target } = host;
      const key = slice * 7;
      if (!target.holds(key, Date.now())) return;
      target.begin(key);
      setTimeout(() => target.finish(key), 700);
      return;
    }
    if (kind === "agent") {
      host.started = start();
    } else {
      Object.assign(host, {
        target: startHeartbeatKeys("t"),
        process: host.process + 1,
        sequence: 0,
        seen: 0,
      });
      void host.started.task.replaceTarget();
    }
    slices.forEach(({ owner }, each) => {
      if (owner === index) regrant(each, owner);
    });
  }

  function holdersOf(key: number): number {
    return hosts.filter(({ target }) => target.holds(key, Date.now())).length;
  }
  const allKeys = Array.from({ length: keys.count }, (_, key) => key);

  for (let step = 0; step < disturbedSteps + calmSteps; step += 1) {
    calm = step >= disturbedSteps;
    if (step % 10 === 0) renewAll();
    plan.incidents.filter(({ at }) => at === step).forEach(perform);
    hosts.forEach((host, index) => {
      const due = (step + index * 5) % heartbeatSteps === 0;
      if (due || host.target.releasing()) beat(host);
    });
    await clock.tickAsync(stepMilliseconds);
    assert.ok(allKeys.every((key) => holdersOf(key) <= 1), `two at ${step}`);
  }
  assert.deepEqual(allKeys.filter((key) => holdersOf(key) !== 1), []);
  assert.deepEqual(hosts.flatMap(({ target }) => target.violations()), []);
}
