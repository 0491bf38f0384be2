import assert from "node:assert/strict";
import { connect, type Socket } from "node:net";
import { afterEach, beforeEach, describe, it } from "node:test";
import { Result } from "true-myth";
import { openTestListener } from "../../tests/test_listener.ts";
import { testAgent } from "../../tests/test_agent.ts";
import { testConfiguration } from "../../tests/test_configuration.ts";
import type { HttpListener } from "../adapters/callers/http_listener.ts";
import { notRun } from "../core/request/outcome.ts";
import type { ProxyAnswer } from "../ports/upstream.ts";
import { startEntry } from "../tasks/entry_task.ts";
import type { ServeTask } from "../tasks/serve_task.ts";
import { startStopGate } from "../tasks/stop_gate.ts";
import { type StoppingAgent, stopServing } from "./stop.ts";

const defaultDeadlineMilliseconds = 1_200;
const times = {
  announceMilliseconds: 400,
  timeoutMilliseconds: 1_100,
  drainTimeoutMilliseconds: 1_500,
  closesIdle: true,
};

const configuration = testConfiguration({
  service: "media",
  defaultDeadlineMilliseconds: defaultDeadlineMilliseconds,
});

const answer: ProxyAnswer = {
  status: 200,
  headers: {},
  body: { kind: "whole", bytes: new Uint8Array() },
  load: null,
};

function pauseFor(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

/** Starts a listener for callers whose requests run at another agent's target. */
async function startStoppableAgent() {
  const forwarded: string[] = [];
  let admissionClosed = false;
  let leftCoordination = false;
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
        forwarded.push(request.path);
        const wait = Number(request.path.split("wait=")[1] ?? 0);
        await pauseFor(wait);
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
      maxSaved: 3,
      firstDelayMilliseconds: 0,
      maxDelayMilliseconds: 0,
    }),
    minTableAgeMilliseconds: 0,
    mayBegin: gate.mayBegin,
  });
  const callers = await openTestListener({
    kind: "callers",
    configuration,
    maxHeaderBytes: 4_096,
    handle: (request, { body }) => entry.handle(request, { body }),
  });
  const coordinator: StoppingAgent["coordinator"] = {
    gossip: { announceNow: () => Promise.resolve() },
    grantors: { handOver: () => Promise.resolve() },
    holder: () => null,
  };
  const agent: StoppingAgent = {
    coordinator,
    serve,
    entry,
    callers,
    gate,
    admission: {
      close() {
        admissionClosed = true;
      },
    },
  };
  function leave(): Promise<void> {
    leftCoordination = true;
    return Promise.resolve();
  }
  return {
    forwarded,
    callers,
    admissionClosed: () => admissionClosed,
    leftCoordination: () => leftCoordination,
    stop: () => stopServing({ ...agent, leave }, times),
  };
}

describe("an agent that stops as planned", () => {
  let forwarded: readonly string[];
  let callers: HttpListener;
  let stop: () => Promise<void>;
  let admissionClosed: () => boolean;
  let leftCoordination: () => boolean;
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
    const stoppable = await startStoppableAgent();
    forwarded = stoppable.forwarded;
    callers = stoppable.callers;
    stop = stoppable.stop;
    admissionClosed = stoppable.admissionClosed;
    leftCoordination = stoppable.leftCoordination;
    caller = connect(callers.port, "127.0.0.1");
    caller.on("error", () => undefined);
    caller.on("data", (data) => received += data.toString("latin1"));
    await new Promise((resolve) => caller.once("connect", resolve));
  });
  afterEach(() => {
    caller.destroy();
    callers.close();
  });

  describe("while a caller continues to send", () => {
    // Guards against requests that are forwarded although they can't end before
    // the planned stop does, and are then cut off (LOST).
    it("at once refuses requests that can't end in time, and answers the others", async () => {
      const stopped = stop();
      await pauseFor(100);
      send("wait=800");
      await pauseFor(500);
      send("wait=950");
      await stopped;
      await pauseFor(20);
      assert.deepEqual(statuses(), ["200", "503"]);
      assert.deepEqual(forwarded, ["/media?wait=800"]);
    });

    it("serves requests that arrive before callers can have noticed the stop", async () => {
      const stopped = stop();
      await pauseFor(100);
      send("wait=1");
      await stopped;
      assert.deepEqual(statuses(), ["200"]);
      assert.equal(admissionClosed(), false);
    });
  });

  describe("while it leaves the coordination", () => {
    // Guards against requests that are cut off (LOST) although there was time:
    // the end of the grace period was reserved for leaving the coordination,
    // and no request was waited for during it.
    it("waits for running requests", async () => {
      const stopped = stop();
      await pauseFor(100);
      send("wait=950");
      await pauseFor(80);
      send("wait=1150");
      await pauseFor(1_000);
      assert.equal(leftCoordination(), true);
      assert.deepEqual(statuses(), ["200"]);
      await stopped;
      await pauseFor(20);
      assert.deepEqual(statuses(), ["200", "200"]);
    });
  });

  describe("with requests that don't end in time", () => {
    // Guards against requests that are cut off while they wait for a slot,
    // although they could not have run in time any more.
    it("refuses requests that wait for a slot while answers can still be sent", async () => {
      const stopped = stop();
      await pauseFor(100);
      send("wait=2000");
      await stopped;
      assert.equal(admissionClosed(), true);
    });
  });
});
