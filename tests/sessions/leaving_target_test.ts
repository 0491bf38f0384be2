/** A real agent process whose target leaves while requests wait for a slot. */
import assert from "node:assert/strict";
import { once } from "node:events";
import { type IncomingMessage, request } from "node:http";
import { after, before, describe, it } from "node:test";
import { setTimeout as pause } from "node:timers/promises";
import { until } from "../../standins/children.ts";
import {
  launchPlatformMesh,
  type PlatformMesh,
} from "../../standins/platform_mesh.ts";

const serviceMilliseconds = 500;
const requests = 24;

describe("a target that leaves while requests wait for a slot", () => {
  let mesh: PlatformMesh;
  before(async () => {
    mesh = await launchPlatformMesh({
      hosts: ["booking", "timetable"].map((service) => ({
        service,
        zone: "kol-a",
        region: "kolkata",
      })),
      serviceMilliseconds,
    });
  });
  after(() => mesh.stop());

  // Guards against requests that reach a target too long after it was
  // acknowledged as leaving, and are lost as it ends (DRAIN).
  it("runs none of them, and each is refused at once", async () => {
    const [agent] = mesh.agents;
    assert.ok(agent !== undefined);
    const { target } = agent;
    const send = async (index: number) => {
      const sent = request(`http://${agent.callers}/seats/${index}`, {
        method: "POST",
        agent: false,
        headers: {
          host: "studio.example",
          "request-id": `r-${index}`,
          "timeout-ms": "1900",
        },
      });
      sent.end();
      const [answer] = await once(sent, "response") as [IncomingMessage];
      answer.resume();
      return { status: answer.statusCode, at: performance.now() };
    };
    const sent = Array.from({ length: requests }, (_, index) => send(index));
    await until(() => Promise.resolve(target.runs().length > 0));
    await pause(100);
    assert.equal(await target.report("draining"), 200);
    const acknowledgedAt = performance.now();
    const begun = target.runs().length;
    const answers = await Promise.all(sent);
    await pause(serviceMilliseconds);
    assert.ok(begun < requests);
    assert.equal(target.runs().length, begun);
    const refused = answers.filter(({ status }) => status === 503);
    assert.equal(refused.length, requests - begun);
    assert.ok(refused.every(({ at }) => at - acknowledgedAt < 250));
  });
});
