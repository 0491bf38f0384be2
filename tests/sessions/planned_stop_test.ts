/**
 * Tests a planned stop of a real agent process on the users' platform while its
 * caller keeps sending on its connection.
 */
import assert from "node:assert/strict";
import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { after, before, describe, it } from "node:test";
import {
  launchPlatformMesh,
  type PlatformMesh,
} from "../../standins/platform_mesh.ts";

const hosts = [
  { service: "timetable", zone: "kol-a", region: "kolkata" },
  { service: "booking", zone: "kol-a", region: "kolkata" },
  { service: "booking", zone: "sil-a", region: "siliguri" },
];

const serviceMilliseconds = 400;
const timeLimitMilliseconds = 1_500;
const betweenMilliseconds = 100;
const beforeStopMilliseconds = 500;

function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

function bookingOf(id: string): string {
  return "POST /seats/1 HTTP/1.1\r\nhost: studio.example\r\n" +
    `request-id: ${id}\r\ntimeout-ms: ${timeLimitMilliseconds}\r\n` +
    "content-length: 0\r\n\r\n";
}

/** The ids of the answers with this status, in order of arrival. */
function idsOf(received: string, status: number): readonly string[] {
  return received.split(/(?=HTTP\/1\.1 )/)
    .filter((answer) => answer.startsWith(`HTTP/1.1 ${status} `))
    .map((answer) => /request-id: (\S+)/i.exec(answer)?.[1] ?? "");
}

describe("a planned stop", () => {
  let mesh: PlatformMesh;
  let caller: Socket;

  before(async () => {
    mesh = await launchPlatformMesh({ hosts, serviceMilliseconds });
  });
  after(async () => {
    caller.destroy();
    await mesh.stop();
  });

  describe("of an agent whose caller pipelines until it is disconnected", () => {
    // Guards against requests that are not idempotent, are forwarded and then
    // cut off without an answer: after an answer that closed the connection,
    // and at the end of the grace period.
    it("answers each request that ran and runs none that it refused", async () => {
      const [stopped] = mesh.agents;
      assert.ok(stopped !== undefined);
      const [host = "", port = ""] = stopped.callers.split(":");
      caller = connect(Number(port), host);
      caller.on("error", () => undefined);
      await once(caller, "connect");
      let received = "";
      caller.on("data", (data) => received += data.toString("latin1"));
      let sent = 0;
      const sending = setInterval(() => {
        sent += 1;
        if (caller.writable) caller.write(bookingOf(`p-${sent}`));
      }, betweenMilliseconds);
      await sleep(beforeStopMilliseconds);
      stopped.process().kill("SIGTERM");
      const ended = await once(stopped.process(), "exit");
      clearInterval(sending);
      await sleep(betweenMilliseconds);
      assert.deepEqual(ended, [0, null]);
      const runs = mesh.agents.flatMap(({ target }) => target.runs())
        .map(({ request }) => request);
      const answered = idsOf(received, 200);
      assert.deepEqual([...runs].sort(), [...answered].sort());
      assert.ok(answered.length > 20, `${answered.length}`);
      const refused = idsOf(received, 503);
      assert.deepEqual(refused.filter((id) => runs.includes(id)), []);
    });
  });
});
