import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { after, before, describe, it } from "node:test";
import {
  coordinatorTimes,
  groupSettingsFor,
} from "../source/programs/platform_policy.ts";
import { type FakeMesh, type NodeOptions, startFakeMesh } from "./fake_mesh.ts";

const document = readFileSync(
  new URL("../examples/studios.yaml", import.meta.url),
  "utf8",
);
const keys = Array.from({ length: 64 }, (_, index) => `class-${index}`);
const settleMilliseconds = 12_000;
const coldBounds = { bounds: { coldRate: { overage: 1.5, slack: 8 } } };

function node(service: string, index: number): NodeOptions {
  const place = { dataCenter: "kolkata-1", region: "kolkata" };
  return { host: `${service}-${index}`, service, ...place };
}

describe("a group whose settings have a budget for moves", () => {
  let mesh: FakeMesh;
  const doubleOwnerships: string[] = [];

  async function advance(milliseconds: number): Promise<void> {
    await mesh.advance(milliseconds, () => {
      for (const key of keys) {
        const owners = mesh.owners(key);
        if (owners.length > 1) doubleOwnerships.push(`${key}: ${owners}`);
        const holder = mesh.node(owners[0] ?? "timetable-1").coordinator
          .holder();
        const permit = holder?.admit(key);
        if (typeof permit === "object") permit.finish();
      }
    });
  }

  before(async () => {
    mesh = startFakeMesh({
      document,
      nodes: [1, 2, 3].flatMap((index) => [
        node("booking", index),
        node("timetable", index),
      ]),
      times: coordinatorTimes,
      group: groupSettingsFor(coldBounds),
      checksFencing: true,
    });
    await advance(settleMilliseconds);
  });
  after(() => mesh.stop());

  // Guards against settings that the coordinator doesn't pass to the grantor.
  it("gives slices to a server that joins, and logs the cause", async () => {
    mesh.add(node("timetable", 4));
    await advance(settleMilliseconds);
    const lines = mesh.events.filter(({ kind }) =>
      kind === "slices-rebalanced"
    );
    assert.ok(lines.length > 0);
    for (const { detail } of lines) {
      assert.ok(["above-capacity", "even-out"].includes(`${detail["cause"]}`));
      assert.ok(Number(detail["remainingKeyShare"]) >= 0);
    }
  });

  it("serves all keys again once a destination is lost, each by one", async () => {
    mesh.add(node("timetable", 5));
    const isMoving = () =>
      mesh.events.some(({ kind, detail }) =>
        kind === "move-started" && `${detail["to"]}`.startsWith("timetable-5/")
      );
    for (let step = 0; step < 200 && !isMoving(); step += 1) await advance(100);
    assert.ok(isMoving(), "no move to the new server");
    mesh.lose("timetable-5");
    await advance(settleMilliseconds);
    assert.deepEqual(keys.filter((key) => mesh.owners(key).length !== 1), []);
    assert.deepEqual(doubleOwnerships, []);
  });
});
