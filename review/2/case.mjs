/** Open connections to the store go silent; then the desired state changes. */
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { desiredState, runCase, send, sleep } from "../standins/harness.mjs";

const host = "studio.example";
const configApplyMs = 2_000;
const stableWindowMs = 3_000;

/** Version 2 changes a time-out; version 3 moves a route and adds one. */
function version(number) {
  const route = {
    host,
    routeType: "non_idempotent",
    timeout: number < 2 ? "800ms" : "900ms",
    targetLatency: "400ms",
    priority: 1,
    numAttempts: 1,
  };
  return desiredState({
    version: number,
    routes: [
      {
        ...route,
        name: "seat-book",
        pathPrefix: "/seats/",
        service: number < 3 ? "booking" : "media",
      },
      ...number < 3 ? [] : [{
        ...route,
        name: "added",
        pathPrefix: "/added/",
        service: "media",
      }],
    ],
    services: [{ name: "booking" }, { name: "media" }],
  });
}

await runCase(
  dirname(fileURLToPath(import.meta.url)),
  async ({ record, trouble, start }) => {
    const { agents, store, proxy } = await start({
      desired: version(1),
      machines: [
        { service: "booking", zone: "kol-a", region: "kolkata" },
        { service: "media", zone: "kol-a", region: "kolkata" },
        { service: "booking", zone: "sil-a", region: "siliguri" },
        { service: "media", zone: "sil-a", region: "siliguri" },
        { service: "booking", zone: "dgp-a", region: "durgapur" },
        { service: "media", zone: "dgp-a", region: "durgapur" },
      ],
    });
    await sleep(6_000);
    const confirm = (number) => {
      store.put("config", "main", version(number));
      record.add("version-confirmed", { version: number });
      return record.now();
    };
    confirm(2);
    await sleep(1_500);
    if (trouble) {
      record.add("connections-silenced", { count: proxy.silence() });
    }
    // All machines are in touch again before the change.
    await sleep(stableWindowMs + 500);
    const confirmedAt = confirm(3);
    await sleep(configApplyMs + 300);
    const requests = [];
    for (let round = 0; round < 8; round += 1) {
      for (const agent of agents) {
        for (const path of ["/seats/1", "/added/1"]) {
          const body = Buffer.from("seat");
          requests.push(
            send(record, agent, { path, method: "POST", host, body }),
          );
        }
      }
      await sleep(500);
    }
    const results = await Promise.all(requests);
    const runs = agents.flatMap(({ upstream }) =>
      upstream.runs.map((run) => ({ ...run, service: upstream.service }))
    );
    const serviceOf = (id) => runs.find((run) => run.request === id)?.service;
    const byOld = results.filter(({ id }) => serviceOf(id) === "booking");
    const refused = results.filter(({ status }) => status === 404);
    const first = Math.min(...results.map(({ sentAt }) => sentAt));
    record.add("result", {
      sent: results.length,
      "first-after-ms": Math.round(first - confirmedAt),
      "run-by-the-old-service": byOld.length,
      "refused-with-404": refused.length,
    });
    return [
      ...byOld.length === 0 ? [] : [
        `CONFIG: ${byOld.length} requests sent ${configApplyMs} ms and more ` +
        "after the confirmation were run by the old service",
      ],
      ...refused.length === 0 ? [] : [
        `CONFIG: ${refused.length} such requests were refused with 404 ` +
        "though their route is there",
      ],
    ];
  },
);
