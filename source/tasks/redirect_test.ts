import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { Result } from "true-myth";
import { emptyConfiguration } from "../core/document/document.ts";
import type { OwnershipTable } from "../core/ownership/table.ts";
import { notRun, ownedElsewhere } from "../core/request/outcome.ts";
import { testAgent } from "../../tests/test_agent.ts";
import { testRequest } from "../../tests/test_request.ts";
import { startEntry } from "./entry_task.ts";

function holderAt(id: string) {
  return { id, peerAddress: `address-of-${id}` };
}

/** A table of one slice, which the first server owns. */
const oldTable: OwnershipTable = {
  group: "timetable.0",
  version: { epoch: 1, sequence: 1 },
  holders: [holderAt("first")],
  owners: [0],
  hashedSlices: 1,
  isolatedKeys: [],
};

/**
 * The owner that each server names, with the sequence of its table's version.
 */
type NamedOwners = Readonly<
  Record<string, { owner: string; sequence: number }>
>;

/**
 * Sends one keyed request through an entry that has only the old table. The
 * first server is in `near`, the second in `far`.
 */
async function sendInto(
  namedOwners: NamedOwners,
  options: {
    readonly allowedRegions?: readonly string[];
    /** The table that others have. */
    readonly newTable?: OwnershipTable;
  } = {},
) {
  const { allowedRegions = [], newTable } = options;
  const asked: string[] = [];
  const entry = startEntry({
    agent: testAgent("entry", { service: "none" }),
    agents: () =>
      [["first", "near"], ["second", "far"]].map(([id = "", region = ""]) =>
        testAgent(id, {
          group: "timetable.0",
          place: { dataCenter: region, region },
        })
      ),
    configuration: () => ({
      ...emptyConfiguration,
      services: [{
        name: "timetable",
        keys: { groups: 1, slicesPerGroup: 1 },
        queueLength: 1,
        routes: [],
        defaultRank: "",
        longestDeadlineMilliseconds: 1_000,
        longestBodyBytes: 1_000,
        coldStart: null,
      }],
    }),
    localTable: () => oldTable,
    serve: {
      serve: () => Promise.resolve(Result.err(notRun("not-owner"))),
      running: () => 0,
    },
    forwarder: {
      forward(address) {
        asked.push(address.replace("address-of-", ""));
        const namedOwner = namedOwners[asked.at(-1) ?? ""];
        if (namedOwner === undefined) {
          const body = { kind: "whole", bytes: new Uint8Array() } as const;
          return Promise.resolve(
            Result.ok({ status: 200, headers: {}, load: null, body }),
          );
        }
        return Promise.resolve(Result.err(ownedElsewhere({
          holder: holderAt(namedOwner.owner),
          version: { epoch: 1, sequence: namedOwner.sequence },
        })));
      },
      close: () => Promise.resolve(),
    },
    peers: {
      // Without a newer table, fetches are never answered.
      call: () =>
        new Promise((resolve) => {
          if (newTable !== undefined) resolve(Result.ok(newTable as never));
        }),
      close: () => Promise.resolve(),
    },
    events: { record: () => undefined },
    metrics: { count: () => undefined, time: () => undefined },
    hash: () => 0,
    place: () => 0,
    random: () => 0.5,
    readPendingInput: () => Promise.resolve(),
    retries: () => ({
      earnedByRequest: 0,
      maxSaved: 0,
      firstDelayMilliseconds: 10,
      maxDelayMilliseconds: 10,
    }),
    minTableAgeMilliseconds: 1_000,
  });
  const request = testRequest({
    service: "timetable",
    key: "7",
    allowedRegions,
    deadlineAt: performance.now() + 10_000,
    signal: AbortSignal.timeout(10_000),
  });
  const result = await entry.handle(request, {
    body: { kind: "kept", bytes: new Uint8Array() },
  });
  const reason = result.isErr ? result.error.reason : "";
  return { served: result.isOk, asked, reason };
}

/**
 * Guards against requests that wait for a table although the new owner is
 * known.
 */
describe("an entry whose table is out of date", () => {
  describe("when the former owner names the new owner", () => {
    it("sends the request there without a new table", async () => {
      const { served, asked } = await sendInto({
        first: { owner: "second", sequence: 2 },
      });
      assert.deepEqual({ served, asked }, {
        served: true,
        asked: ["first", "second"],
      });
    });
  });

  describe("when the named owner has lost the key too", () => {
    it("follows the next redirect", async () => {
      const { served, asked } = await sendInto({
        first: { owner: "second", sequence: 2 },
        second: { owner: "third", sequence: 3 },
      });
      assert.deepEqual({ served, asked }, {
        served: true,
        asked: ["first", "second", "third"],
      });
    });
  });
});

// Guards against keyed requests that reach a region that their route doesn't
// allow, and against a table that is never read again since no owner refuses.
describe("an entry whose table names an owner that is not allowed", () => {
  const allowedRegions = ["far"];

  it("sends nothing there, and refuses once it has asked for a newer one", async () => {
    const { asked, reason } = await sendInto({}, {
      allowedRegions,
      newTable: oldTable,
    });
    assert.deepEqual({ asked, reason }, {
      asked: [],
      reason: "region-not-allowed",
    });
  });

  it("sends it to the allowed owner that the newer one names", async () => {
    const { asked } = await sendInto({}, {
      allowedRegions,
      newTable: {
        ...oldTable,
        version: { epoch: 1, sequence: 2 },
        holders: [holderAt("second")],
      },
    });
    assert.deepEqual(asked, ["second"]);
  });
});
