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

/** A table of one slice, owned by the first server. */
const oldTable: OwnershipTable = {
  group: "timetable.0",
  version: { epoch: 1, sequence: 1 },
  holders: [holderAt("first")],
  owners: [0],
  hashedSlices: 1,
  isolatedKeys: [],
};

/** What each server names as the owner, and the version it knows that by. */
type Words = Readonly<Record<string, { owner: string; sequence: number }>>;

/** Sends one keyed request into a mesh whose entry knows the old table only. */
async function sendInto(words: Words) {
  const asked: string[] = [];
  const entry = startEntry({
    agent: testAgent("entry", { service: "none" }),
    agents: () => [],
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
        const word = words[asked.at(-1) ?? ""];
        if (word === undefined) {
          const body = { kind: "whole", bytes: new Uint8Array() } as const;
          return Promise.resolve(
            Result.ok({ status: 200, headers: {}, load: null, body }),
          );
        }
        return Promise.resolve(Result.err(ownedElsewhere({
          holder: holderAt(word.owner),
          version: { epoch: 1, sequence: word.sequence },
        })));
      },
      close: () => Promise.resolve(),
    },
    peers: {
      // The table that could be fetched never comes.
      call: () => new Promise(() => undefined),
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
      mostSaved: 0,
      firstDelayMilliseconds: 10,
      longestDelayMilliseconds: 10,
    }),
    shortestTableAgeMilliseconds: 1_000,
  });
  const request = testRequest({
    service: "timetable",
    key: "7",
    deadlineAt: performance.now() + 10_000,
    signal: AbortSignal.timeout(10_000),
  });
  const result = await entry.handle(request, {
    body: { kind: "kept", bytes: new Uint8Array() },
  });
  return { served: result.isOk, asked };
}

/** Keys move between servers, and entries learn of it late. */
describe("an entry whose table is out of date", () => {
  describe("when the former owner names the new one", () => {
    it("sends the request there, without a table", async () => {
      const { served, asked } = await sendInto({
        first: { owner: "second", sequence: 2 },
      });
      assert.deepEqual({ served, asked }, {
        served: true,
        asked: ["first", "second"],
      });
    });
  });

  describe("when the key has moved on meanwhile", () => {
    it("follows it", async () => {
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
