import assert from "node:assert/strict";
import { connect, type Socket } from "node:net";
import { afterEach, beforeEach, describe, it } from "node:test";
import { Result } from "true-myth";
import { openTestListener } from "../../tests/test_listener.ts";
import { testAgent } from "../../tests/test_agent.ts";
import { testConfiguration } from "../../tests/test_configuration.ts";
import type { Front } from "../adapters/callers/http_front.ts";
import { notRun } from "../core/request/outcome.ts";
import type { ProxyAnswer } from "../ports/upstream.ts";
import { startEntry } from "../tasks/entry_task.ts";
import type { ServeTask } from "../tasks/serve_task.ts";
import { startStopGate } from "../tasks/stop_gate.ts";
import { type StoppingParts, stopServing } from "./stop.ts";

const usualDeadlineMilliseconds = 1_200;
const times = {
  announceMilliseconds: 400,
  timeoutMilliseconds: 1_100,
  answersMilliseconds: 1_500,
  closesIdle: true,
};

const configuration = testConfiguration({
  service: "media",
  defaultDeadlineMilliseconds: usualDeadlineMilliseconds,
});

const answer: ProxyAnswer = {
  status: 200,
  headers: {},
  body: { kind: "whole", bytes: new Uint8Array() },
  load: null,
};

function rest(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

/** A listener of callers whose requests run in another agent's target. */
async function startStoppable() {
  const begun: string[] = [];
  let refusing = false;
  let left = false;
  const serve: ServeTask = {
    serve: () => Promise.resolve(Result.err(notRun("not-owner"))),
    running: () => 0,
  };
  const gate = startStopGate();
  const entry = startEntry({
    agent: testAgent("entry", { service: "none" }),
    agents: () => [testAgent("other", { service: "media" })],
    configuration: () => configuration,
    localTable: () => null,
    serve,
    forwarder: {
      async forward(_address, request) {
        begun.push(request.path);
        const wait = Number(request.path.split("wait=")[1] ?? 0);
        await rest(wait);
        return Result.ok(answer);
      },
      close: () => Promise.resolve(),
    },
    peers: {
      call: () =>
        Promise.resolve(Result.err({ kind: "unreachable", detail: "" })),
      close: () => Promise.resolve(),
    },
    events: { record: () => undefined },
    metrics: { count: () => undefined, time: () => undefined },
    hash: () => 0,
    place: () => -1,
    random: () => 0.5,
    readPendingInput: () => Promise.resolve(),
    retries: () => ({
      earnedByRequest: 0.1,
      mostSaved: 3,
      firstDelayMilliseconds: 0,
      longestDelayMilliseconds: 0,
    }),
    shortestTableAgeMilliseconds: 0,
    mayBegin: gate.mayBegin,
  });
  const callers = await openTestListener({
    kind: "callers",
    configuration,
    longestHeaderBytes: 4_096,
    handle: (request, { body }) => entry.handle(request, { body }),
  });
  const coordinator: StoppingParts["coordinator"] = {
    spread: { hurry: () => Promise.resolve() },
    grantors: { handOver: () => Promise.resolve() },
    holder: () => null,
  };
  const parts: StoppingParts = {
    coordinator,
    serve,
    entry,
    callers,
    gate,
    admission: {
      close() {
        refusing = true;
      },
    },
  };
  function leave(): Promise<void> {
    left = true;
    return Promise.resolve();
  }
  return {
    begun,
    callers,
    refusing: () => refusing,
    left: () => left,
    stop: () => stopServing({ ...parts, leave }, times),
  };
}

describe("an agent that stops as planned", () => {
  let begun: readonly string[];
  let front: Front;
  let stop: () => Promise<void>;
  let refusing: () => boolean;
  let left: () => boolean;
  let caller: Socket;
  let received = "";

  function send(query: string): void {
    caller.write(
      `GET /media?${query} HTTP/1.1\r\nHost: studio.example\r\n\r\n`,
    );
  }

  function statuses(): readonly string[] {
    return [...received.matchAll(/HTTP\/1.1 (\d+)/g)].map(([, status = ""]) =>
      status
    );
  }

  beforeEach(async () => {
    received = "";
    const stoppable = await startStoppable();
    begun = stoppable.begun;
    front = stoppable.callers;
    stop = stoppable.stop;
    refusing = stoppable.refusing;
    left = stoppable.left;
    caller = connect(front.port, "127.0.0.1");
    caller.on("error", () => undefined);
    caller.on("data", (data) => received += data.toString("latin1"));
    await new Promise((resolve) => caller.once("connect", resolve));
  });
  afterEach(() => {
    caller.destroy();
    front.close();
  });

  describe("from a caller that goes on sending", () => {
    // Guards against requests that are passed on and cut off at the end of a
    // planned stop (LOST): late ones were taken like any other.
    it("refuses at once what can't end in time, and answers the rest", async () => {
      const stopped = stop();
      await rest(100);
      send("wait=800");
      await rest(500);
      send("wait=950");
      await stopped;
      await rest(20);
      assert.deepEqual(statuses(), ["200", "503"]);
      assert.deepEqual(begun, ["/media?wait=800"]);
    });

    it("serves what comes before callers can have heard", async () => {
      const stopped = stop();
      await rest(100);
      send("wait=1");
      await stopped;
      assert.deepEqual(statuses(), ["200"]);
      assert.equal(refusing(), false);
    });
  });

  describe("while it leaves the coordination", () => {
    // Guards against requests that are cut off (LOST) though there was time:
    // the last part of the grace was kept for leaving, and nothing ran then.
    it("waits for what runs", async () => {
      const stopped = stop();
      await rest(100);
      send("wait=950");
      await rest(80);
      send("wait=1150");
      await rest(1_000);
      assert.equal(left(), true);
      assert.deepEqual(statuses(), ["200"]);
      await stopped;
      await rest(20);
      assert.deepEqual(statuses(), ["200", "200"]);
    });
  });

  describe("with requests that don't end", () => {
    // Guards against requests that are cut off while they wait for a slot,
    // though it was known that they could not run any more.
    it("refuses what still waits for a slot, while answers can be written", async () => {
      const stopped = stop();
      await rest(100);
      send("wait=2000");
      await stopped;
      assert.equal(refusing(), true);
    });
  });
});
