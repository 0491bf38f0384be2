import { after, before, describe, it } from "node:test";
import type { Mesh, MeshAgent } from "../../standins/processes.ts";
import {
  compareWithGolden,
  countFailedRequests,
  evaluateSession,
  findGrantor,
  keyedRequestLoad,
  lastFailureMilliseconds,
  launchStudiosMesh,
  runUnderLoad,
  sleep,
  verdictLines,
} from "./session.ts";

/** Objective: a key is served again within 5 s of a loss. */
const servedAgainMilliseconds = 5_000;

let mesh: Mesh;

function entries(): readonly MeshAgent[] {
  return mesh.agents.filter((agent) => agent.service === "media");
}

function owner(): MeshAgent {
  return mesh.agents[0] as MeshAgent;
}

describe("sessions of real processes under load", () => {
  describe("owner frozen for 10 s and continued", () => {
    before(async () => {
      mesh = await launchStudiosMesh();
    });
    after(() => mesh.stop());

    it("keeps the promises", async () => {
      const { report, actedAt, runs } = await runUnderLoad(mesh, {
        load: keyedRequestLoad(entries(), { seconds: 16 }),
        afterMilliseconds: 2_000,
        act() {
          owner().agentProcess.kill("SIGSTOP");
          setTimeout(() => owner().agentProcess.kill("SIGCONT"), 10_000);
        },
      });
      const servedInTime =
        lastFailureMilliseconds(report, actedAt) <= servedAgainMilliseconds;
      compareWithGolden("owner_frozen", [
        ...verdictLines(evaluateSession(report, runs)),
        `keys served again within 5 s, and through the return: ${servedInTime}`,
      ]);
    });
  });

  describe("server and agent killed", () => {
    before(async () => {
      mesh = await launchStudiosMesh();
    });
    after(() => mesh.stop());

    it("serves the keys again within the target", async () => {
      const { report, actedAt, runs } = await runUnderLoad(mesh, {
        load: keyedRequestLoad(entries(), { seconds: 9 }),
        afterMilliseconds: 2_000,
        act() {
          owner().agentProcess.kill("SIGKILL");
        },
      });
      const servedInTime =
        lastFailureMilliseconds(report, actedAt) <= servedAgainMilliseconds;
      compareWithGolden("owner_killed", [
        ...verdictLines(evaluateSession(report, runs)),
        `keys served again within 5 s: ${servedInTime}`,
      ]);
    });
  });

  describe("grantor killed", () => {
    before(async () => {
      mesh = await launchStudiosMesh();
    });
    after(() => mesh.stop());

    it("fails no request", async () => {
      const grantor = await findGrantor(mesh);
      const through = mesh.agents.filter((agent) => agent !== grantor);
      const { report, runs } = await runUnderLoad(mesh, {
        load: keyedRequestLoad(through.slice(-1), { seconds: 9 }),
        afterMilliseconds: 2_000,
        act() {
          grantor.agentProcess.kill("SIGKILL");
        },
      });
      compareWithGolden("grantor_killed", [
        ...verdictLines(evaluateSession(report, runs)),
        `failed requests: ${countFailedRequests(report)}`,
      ]);
    });
  });

  describe("store down", () => {
    before(async () => {
      mesh = await launchStudiosMesh();
    });
    after(() => mesh.stop());

    it("fails no request", async () => {
      const { report, runs } = await runUnderLoad(mesh, {
        load: keyedRequestLoad(entries(), { seconds: 12 }),
        afterMilliseconds: 1_000,
        async act() {
          await mesh.setStoreFaults({ down: true });
          await sleep(10_000);
          await mesh.setStoreFaults({ down: false });
        },
      });
      compareWithGolden("store_down", [
        ...verdictLines(evaluateSession(report, runs)),
        `failed requests: ${countFailedRequests(report)}`,
      ]);
    });
  });

  describe("owner and then grantor stopped as planned", () => {
    before(async () => {
      mesh = await launchStudiosMesh();
    });
    after(() => mesh.stop());

    it("cuts off no request", async () => {
      const grantor = await findGrantor(mesh);
      const through = mesh.agents.filter((agent) =>
        agent !== grantor && agent !== owner()
      );
      const { report, runs } = await runUnderLoad(mesh, {
        load: keyedRequestLoad(through, { seconds: 10 }),
        afterMilliseconds: 2_000,
        async act() {
          owner().agentProcess.kill("SIGTERM");
          await sleep(4_000);
          grantor.agentProcess.kill("SIGTERM");
        },
      });
      compareWithGolden("planned_stops", [
        ...verdictLines(evaluateSession(report, runs)),
        `failed requests: ${countFailedRequests(report)}`,
      ]);
    });
  });
});
