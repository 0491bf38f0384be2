import assert from "node:assert/strict";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { connect } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { after, before, describe, it } from "node:test";
import { until } from "../../standins/children.ts";
import type { Mesh, MeshAgent } from "../../standins/processes.ts";
import { launchStudiosMesh } from "./session.ts";

const studios = readFileSync(
  new URL("../../examples/studios.yaml", import.meta.url),
  "utf8",
);

let mesh: Mesh;
let folder: string;

function entry(): MeshAgent {
  return mesh.agents[4] as MeshAgent;
}

function file(name: string, text: string): string {
  const path = join(folder, name);
  writeFileSync(path, text);
  return path;
}

function runDocumentCommand(action: string, ...words: readonly string[]) {
  return mesh.command([
    "document",
    action,
    ...words,
    "--store",
    mesh.storeOrigin,
  ]);
}

async function sendRequest(
  path: string,
  options: RequestInit = {},
): Promise<{ readonly status: number; readonly body: Record<string, string> }> {
  const answer = await fetch(`http://${entry().callerAddress}${path}`, options);
  return {
    status: answer.status,
    body: await answer.json() as Record<string, string>,
  };
}

/** Sends raw bytes and resolves with all received data. */
function exchange(text: string): Promise<string> {
  const [host = "", port = "0"] = entry().callerAddress.split(":");
  return new Promise((resolve) => {
    const socket = connect(Number(port), host, () => socket.write(text));
    let received = "";
    socket.on("data", (data) => received += String(data));
    socket.on("error", () => resolve(received));
    socket.on("close", () => resolve(received));
    socket.setTimeout(3_000, () => socket.destroy());
  });
}

describe("the program", () => {
  before(async () => {
    mesh = await launchStudiosMesh();
    folder = mkdtempSync(join(tmpdir(), "geraniumledge-"));
  });
  after(async () => {
    await mesh.stop();
    rmSync(folder, { recursive: true });
  });

  describe("requests", () => {
    it("reach the owner of their key through another agent", async () => {
      const { status, body } = await sendRequest("/timetable/class-1");
      assert.equal(status, 200);
      assert.match(body["servedBy"] ?? "", /^timetable-/);
    });

    it("reach a target of a service without keys", async () => {
      const { body } = await sendRequest("/booking/new", {
        method: "POST",
        body: "{}",
      });
      assert.match(body["servedBy"] ?? "", /^booking-/);
    });

    it("deliver a large body completely", async () => {
      const size = 5_000_000;
      const { body } = await sendRequest("/media/recital", {
        method: "POST",
        body: new Uint8Array(size),
      });
      assert.equal(Number(body["bodyBytes"]), size);
    });

    it("are refused with the reason when a field is invalid", async () => {
      const cases:
        readonly (readonly [string, Record<string, string>, string])[] = [
          ["/nothing", {}, "no service has a route"],
          ["/media", { "geraniumledge-rank": "extreme" }, "must be one of"],
          ["/media", { "geraniumledge-rank": "0" }, "must be one of"],
          [
            "/media",
            { "geraniumledge-deadline-milliseconds": "soon" },
            "whole number",
          ],
          ["/media", { "geraniumledge-idempotent": "maybe" }, "true or false"],
          ["/media", { "x-request-id": "a".repeat(200) }, "x-request-id"],
          ["/timetable/" + "k".repeat(2_000), {}, "a key has 1024"],
        ];
      for (const [path, headers, expected] of cases) {
        const { body } = await sendRequest(path, { headers });
        assert.equal(body["outcome"], "not-run");
        assert.ok(body["message"]?.includes(expected), JSON.stringify(body));
      }
    });

    it("with header fields that are too long get a clear refusal", async () => {
      const text = await exchange(
        `GET /media HTTP/1.1\r\nhost: a\r\nx-long: ${
          "x".repeat(20_000)
        }\r\n\r\n`,
      );
      assert.match(text, /^HTTP\/1\.1 431/);
      assert.match(text, /shorten or drop/);
    });

    it("that are not HTTP get a clear refusal", async () => {
      assert.match(await exchange("hello\r\n\r\n"), /no HTTP\/1\.1 request/);
    });

    it("whose body grows too large without a stated length take no effect", async () => {
      const chunk = "f4240\r\n" + "x".repeat(1_000_000) + "\r\n";
      const text = await exchange(
        "POST /booking HTTP/1.1\r\nhost: a\r\nx-request-id: huge\r\n" +
          "transfer-encoding: chunked\r\n\r\n" + chunk.repeat(11) +
          "0\r\n\r\n",
      );
      assert.match(text, /^HTTP\/1\.1 413/);
      const runs = await mesh.runs();
      assert.ok(!runs.some((run) => run.request === "huge" && run.effect));
    });

    it("whose upload is incomplete never take effect", async () => {
      await exchange(
        "POST /media/broken HTTP/1.1\r\nhost: a\r\nx-request-id: broken\r\n" +
          "content-length: 200000\r\n\r\nonly this",
      );
      const runs = await mesh.runs();
      const effects = runs.filter((run) =>
        run.request === "broken" && run.effect
      );
      assert.deepEqual(effects, []);
    });

    it("whose answer is truncated fail at the caller", async () => {
      const media = mesh.agents[4] as MeshAgent;
      await mesh.behave(media, { truncates: true });
      await assert.rejects(
        sendRequest("/media/cut", { method: "POST", body: "{}" }),
      );
      await mesh.behave(media, { truncates: false });
    });
  });

  describe("document commands", () => {
    it("check names section, line and reason, and exit with 1", async () => {
      const bad = file("bad.yaml", studios.replace("2GB", "huge"));
      const { output, code } = await runDocumentCommand("check", bad);
      assert.equal(code, 1);
      assert.match(
        output,
        /section media, longest_body, line \d+: must be a size/,
      );
    });

    it("diff shows the sections that differ", async () => {
      const next = file("next.yaml", studios.replace("2GB", "3GB"));
      const { output } = await runDocumentCommand("diff", next);
      assert.match(output, /change media/);
      assert.match(output, /\+ longest_body: 3GB/);
    });

    it("apply concurrent edits of different sections", async () => {
      const base = file("base.yaml", studios);
      const left = file("left.yaml", studios.replace("2GB", "4GB"));
      const right = file(
        "right.yaml",
        studios.replace("share: 0.2", "share: 0.3"),
      );
      const results = await Promise.all(
        [left, right].map((edit) =>
          runDocumentCommand("apply", edit, "--base", base)
        ),
      );
      assert.deepEqual(results.map((result) => result.code), [0, 0]);
      const { output } = await runDocumentCommand("show");
      assert.ok(output.includes("4GB") && output.includes("share: 0.3"));
    });

    it("refuse an edit of a section that was changed meanwhile", async () => {
      const base = file("base.yaml", studios);
      const late = file("late.yaml", studios.replace("2GB", "5GB"));
      const { output, code } = await runDocumentCommand(
        "apply",
        late,
        "--base",
        base,
      );
      assert.equal(code, 4);
      assert.match(output, /somebody else changed the same sections: media/);
    });

    it("say on how many agents each section is in force", async () => {
      let output = "";
      await until(async () => {
        const status = await runDocumentCommand(
          "status",
          "--agent",
          entry().peerAddress,
        );
        output = status.output;
        return status.code === 0;
      });
      assert.match(output, /media: accepted \d+, in force on 5 of 5/);
    });

    it("name the host on which a section is not in force", async () => {
      const frozen = mesh.agents[3] as MeshAgent;
      frozen.agentProcess.kill("SIGSTOP");
      const { output, code } = await runDocumentCommand(
        "status",
        "--agent",
        entry().peerAddress,
      );
      frozen.agentProcess.kill("SIGCONT");
      assert.equal(code, 1);
      assert.match(output, /in force on 4 of 5, missing: booking-4/);
    });

    it("report that the store can't be reached, and exit with 3", async () => {
      const { output, code } = await mesh.command([
        "document",
        "show",
        "--store",
        "http://127.0.0.1:1",
      ]);
      assert.equal(code, 3);
      assert.match(output, /the store can't be used/);
      assert.ok(!output.includes("    at "), "no stack trace");
    });
  });

  describe("the timeline command", () => {
    it("lists the events of a request in causal order", async () => {
      await sendRequest("/timetable/class-2", {
        headers: { "x-request-id": "told" },
      });
      const { output } = await mesh.command([
        "timeline",
        "--agent",
        entry().peerAddress,
        "--request",
        "told",
      ]);
      const kinds = output.trim().split("\n").map((line) => line.split(" ")[3]);
      assert.deepEqual(kinds, [
        "request-entered",
        "request-routed",
        "request-admitted",
        "request-answered",
      ]);
    });
  });

  describe("operators' pages", () => {
    it("give readiness and metrics that a scraper reads", async () => {
      const ready = await fetch(`http://${entry().peerAddress}/-/ready`);
      assert.equal(ready.status, 200);
      await ready.text();
      const metrics = await fetch(`http://${entry().peerAddress}/-/metrics`);
      const text = await metrics.text();
      assert.match(
        text,
        /geraniumledge_requests_entered_total\{rank="view"\} \d/,
      );
    });
  });
});
