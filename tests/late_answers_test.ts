import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { after, before, describe, it } from "node:test";
import {
  coordinatorTimes,
  groupSettings,
} from "../source/programs/platform_policy.ts";
import { type FakeMesh, type NodeOptions, startFakeMesh } from "./fake_mesh.ts";

const group = "timetable.0";
const document = readFileSync(
  new URL("../examples/studios.yaml", import.meta.url),
  "utf8",
);

/** From the target: a key is served again within 5 s of a loss. */
const servedAgainMilliseconds = 5_000;
/** Callers of keys that change hands as planned wait less. */
const plannedMoveMilliseconds = 500;
const settleMilliseconds = 12_000;
const lateMilliseconds = 15_000;
const sampleMilliseconds = 100;
/** Later than a holder doubts its grantor, and than it waits for an answer. */
const answerDelays = [900, 1_900];

const keys = Array.from({ length: 64 }, (_, index) => `class-${index}`);
const lateHosts = ["timetable-1", "timetable-2", "timetable-3", "timetable-4"];

function nodesOf(service: string, count: number): readonly NodeOptions[] {
  return Array.from({ length: count }, (_, index) => ({
    host: `${service}-${index + 1}`,
    service,
    dataCenter: `kolkata-${index % 2 + 1}`,
    region: "kolkata",
  }));
}

/** Each key that has an owner is asked for once; the owners count that. */
function useKeys(mesh: FakeMesh): void {
  for (const key of keys) {
    const [owner] = mesh.owners(key);
    if (owner === undefined) continue;
    const permit = mesh.node(owner).coordinator.holder()?.admit(key);
    if (permit !== undefined && typeof permit !== "string") permit.finish();
  }
}

// Guards against a grantor that takes a renewal which has come for a lease
// that its server knows of (SHORT: keys given to servers that serve nothing).
describe("a group of 12 servers, to four of which the grantor's answers come late", () => {
  for (const answerDelayMilliseconds of answerDelays) {
    describe(`by ${answerDelayMilliseconds} ms`, () =>
      lateBy(answerDelayMilliseconds));
  }
});

/** Defines the tests of one delay, which are played once. */
function lateBy(answerDelayMilliseconds: number): void {
  let mesh: FakeMesh;
  let beganAt = 0;
  let eventsBefore = 0;
  const ownersBefore = new Map<string, string>();
  /** For each key the longest time without an owner. */
  const gaps = new Map<string, number>();
  const doubled: string[] = [];
  /** Hosts that had no lease when the grantor moved a slice to them. */
  const moves: string[] = [];

  async function advance(milliseconds: number): Promise<void> {
    const ownedAt = new Map(keys.map((key) => [key, mesh.now()]));
    const end = mesh.now() + milliseconds;
    let seen = mesh.events.length;
    const without = new Set<string>();
    while (mesh.now() < end) {
      await mesh.advance(sampleMilliseconds);
      useKeys(mesh);
      for (const key of keys) {
        const owners = mesh.owners(key);
        if (owners.length > 1) doubled.push(`${key}: ${owners}`);
        const gap = owners.length > 0
          ? 0
          : mesh.now() - (ownedAt.get(key) ?? 0);
        gaps.set(key, Math.max(gap, gaps.get(key) ?? 0));
        if (owners.length > 0) ownedAt.set(key, mesh.now());
      }
      for (const { at, host, kind, detail } of mesh.events.slice(seen)) {
        if (kind === "lease-ended") without.add(host);
        if (kind === "lease-restored") without.delete(host);
        const to = String(detail["to"]).split("/")[0] ?? "";
        if (kind === "move-started" && without.has(to)) {
          moves.push(`${to} at ${Math.round(at - beganAt)} ms`);
        }
      }
      seen = mesh.events.length;
    }
  }

  function worstGap(of: (owner: string) => boolean): number {
    const found = keys.filter((key) => of(ownersBefore.get(key) ?? ""));
    return Math.max(...found.map((key) => gaps.get(key) ?? 0));
  }

  before(async () => {
    mesh = startFakeMesh({
      document,
      nodes: [...nodesOf("booking", 6), ...nodesOf("timetable", 12)],
      times: coordinatorTimes,
      group: groupSettings,
      checksFencing: true,
    });
    await advance(settleMilliseconds);
    for (const key of keys) ownersBefore.set(key, mesh.owners(key)[0] ?? "");
    gaps.clear();
    moves.length = 0;
    beganAt = mesh.now();
    eventsBefore = mesh.events.length;
    const [grantor = ""] = mesh.grantors();
    mesh.setDelays((from, to) =>
      from === grantor && lateHosts.includes(to) ? answerDelayMilliseconds : 0
    );
    await advance(lateMilliseconds);
  });
  after(() => mesh.stop());

  it("never lets two serve one key", () => assert.deepEqual(doubled, []));

  it("keeps its grantor", () => {
    const claims = mesh.events.slice(eventsBefore).filter(({ kind, detail }) =>
      kind === "epoch-claimed" && detail["group"] === group
    );
    assert.equal(claims.length, 0, `${claims.length} claims, not 0`);
  });

  it("serves the keys of the others without a gap", () => {
    const gap = worstGap((owner) => !lateHosts.includes(owner));
    assert.ok(gap <= plannedMoveMilliseconds, `no owner for ${gap} ms`);
  });

  it("serves the keys of those four again within the target", () => {
    const gap = worstGap((owner) => lateHosts.includes(owner));
    assert.ok(gap <= servedAgainMilliseconds, `no owner for ${gap} ms`);
  });

  it("moves nothing to a server that has no lease", () => {
    assert.equal(moves.length, 0, `${moves.length} moves: ${moves}`);
  });
}

// Guards against a group that is taken from a grantor whose answers are late for
// all, though it renews every lease (SHORT).
describe("a group of 35 servers, to all of which the grantor's answers come late", () => {
  const delayMilliseconds = 500;
  const longDelayMilliseconds = 1_000;
  let mesh: FakeMesh;

  before(async () => {
    mesh = startFakeMesh({
      document,
      nodes: [...nodesOf("booking", 12), ...nodesOf("timetable", 35)],
      times: coordinatorTimes,
      group: groupSettings,
      checksFencing: true,
    });
    await mesh.advance(settleMilliseconds);
  });
  after(() => mesh.stop());

  it("keeps its grantor", async () => {
    const [grantor = ""] = mesh.grantors();
    const eventsBefore = mesh.events.length;
    mesh.setDelays((from, to) => {
      if (from !== grantor || !to.startsWith("timetable-")) return 0;
      const isLonger = lateHosts.slice(0, 2).includes(to);
      return isLonger ? longDelayMilliseconds : delayMilliseconds;
    });
    await mesh.advance(lateMilliseconds);
    const claims = mesh.events.slice(eventsBefore).filter(({ kind, detail }) =>
      kind === "epoch-claimed" && detail["group"] === group
    );
    assert.equal(claims.length, 0, `${claims.length} claims, not 0`);
  });
});
