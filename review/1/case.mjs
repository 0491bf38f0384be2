/** A liveness report of another writer names a service that there isn't. */
import { request } from "node:http";
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import {
  desiredState,
  runCase,
  send,
  sleep,
  until,
  watchSharedKeys,
} from "../standins/harness.mjs";

const regions = { kol: "kolkata", sil: "siliguri", dgp: "durgapur" };
const host = "studio.example";
const desired = desiredState({
  version: 3,
  routes: [{
    name: "slot-view",
    host,
    pathPrefix: "/slots/",
    routeType: "idempotent",
    timeout: "1200ms",
    targetLatency: "250ms",
    priority: 0,
    numAttempts: 2,
    service: "timetable",
  }],
  services: [{ name: "timetable", sharded: true }, { name: "booking" }],
});

/** How many reports of another writer there are, to one machine each. */
const reports = 3;
/** Two upstreams may not hold the same keys for longer. */
const maxSharedMs = 500;

/** One report that differs from a sound one in its id and its service only. */
function reportOfAnotherWriter(record, agent) {
  const id = `i-another-${agent.name}`;
  const [address, port] = agent.control.split(":");
  const body = JSON.stringify({
    address: `${agent.host}:${agent.upstream.port}`,
    born: Date.now(),
    info: { service: "unnamed", version: "v1", zone: "kol-a", slots: 6 },
    status: { state: "ready", sequence: 1, coldRemaining: "0ms" },
  });
  return new Promise((resolve, reject) => {
    const sent = request({
      host: address,
      port,
      method: "PUT",
      path: `/geraniumledge/instances/${id}`,
      agent: false,
      headers: { "content-type": "application/json" },
    }, (answer) => {
      answer.resume();
      record.add("report-of-another-writer", {
        to: agent.name,
        status: answer.statusCode,
      });
      answer.on("end", () => resolve(answer.statusCode));
    });
    sent.on("error", reject);
    sent.end(body);
  });
}

await runCase(
  dirname(fileURLToPath(import.meta.url)),
  async ({ record, trouble, start }) => {
    const { agents } = await start({
      desired,
      machines: [
        ...["kol-a", "kol-b", "sil-a", "sil-b", "dgp-a", "dgp-b"].map((
          zone,
        ) => ({ service: "timetable", zone, keyed: true })),
        { service: "booking", zone: "kol-a" },
      ].map((machine) => ({
        ...machine,
        region: regions[machine.zone.slice(0, 3)],
      })),
    });
    const client = agents.at(-1);
    const keys = Array.from({ length: 64 }, (_, index) => index * 1_024 + 5);
    const view = (key) =>
      send(record, client, {
        path: `/slots/${key}`,
        host,
        headers: { "shard-key": String(key) },
        timeoutMs: 1_200,
      });
    await until(
      async () =>
        (await Promise.all(keys.map(view))).every(({ status }) =>
          status === 200
        ),
      { name: "all keys are served" },
    );
    await sleep(6_000);

    const endWatch = watchSharedKeys(
      record,
      agents.map(({ upstream }) => upstream)
        .filter(({ service }) => service === "timetable"),
      keys,
    );
    // Some keys are far busier than others.
    const traffic = setInterval(() => {
      const busy = Math.random() < 0.4;
      void view(keys[Math.floor(Math.random() * (busy ? 3 : keys.length))]);
    }, 6);
    await sleep(8_000);
    /** The upstream that holds most of the sampled keys. */
    const held = ({ upstream }) => keys.filter(upstream.holds).length;
    const chosen = [];
    for (let count = 0; count < reports; count += 1) {
      const [agent] = agents.toSorted((left, right) =>
        held(right) - held(left)
      );
      record.add("chosen", { machine: agent.name, keys: held(agent) });
      if (trouble) await reportOfAnotherWriter(record, agent);
      chosen.push(agent);
      await sleep(5_000);
    }
    const shared = endWatch();
    clearInterval(traffic);
    await sleep(1_500);
    const runsOf = () => chosen.map(({ upstream }) => upstream.runs.length);
    const before = runsOf();
    for (let round = 0; round < 5; round += 1) {
      await Promise.all(keys.map(view));
      await sleep(1_000);
    }
    const broken = shared.filter(({ ms }) => ms > maxSharedMs);
    const longestMs = Math.round(Math.max(0, ...shared.map(({ ms }) => ms)));
    record.add("result", {
      "keys-shared-too-long": broken.length,
      "longest-ms": longestMs,
      "later-runs-at-the-chosen": runsOf()
        .map((runs, index) => runs - before[index]).join(","),
    });
    return broken.length === 0 ? [] : [
      `OWNER: two upstreams that are up held ${broken.length} of ` +
      `${keys.length} sampled keys for over half a second, up to ` +
      `${longestMs} ms`,
    ];
  },
);
