/**
 * Two of six machines can't read the store for some seconds: those that watch
 * it. In the first part they are partitioned from it, in the second one the
 * store turns them away. The other four reach everything. The operator adds
 * routes and moves one; the four are asked for them later than the bound.
 */
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import {
  desiredState,
  isReady,
  openAgents,
  openRecord,
  pause,
  planMachine,
  request,
  runCase,
  startLink,
  startStore,
  startUpstream,
  trouble,
  until,
} from "../standins-2/harness.mjs";

const record = openRecord(dirname(fileURLToPath(import.meta.url)));
const agents = openAgents();
const open = [];

const zone = "dk-north";
const region = "darkhan";
const zones = { [zone]: region };
const services = ["stockdesk", "dispatch", "qcarchive"];
const machinesPerService = 2;
const configApplyMilliseconds = 2_000;
const stableWindowMilliseconds = 3_000;
const marginMilliseconds = 100;
/** An unstable core stretches the bound by this. */
const maxSkewMilliseconds = 5_000;

/**
 * The disruptions, each no longer than the longest of the site files, and the
 * bound while it lasts.
 */
const parts = [
  {
    name: "are partitioned from the store",
    milliseconds: 6_700,
    bound: configApplyMilliseconds,
    begin: ({ link }) => link.cut(),
    end: ({ link }) => link.heal(),
  },
  {
    name: "are turned away by the store (503)",
    milliseconds: 9_000,
    bound: configApplyMilliseconds + maxSkewMilliseconds,
    begin: ({ door }) => door.turnAway(true),
    end: ({ door }) => door.turnAway(false),
  },
];

/** A route that the operator moves from one service to another. */
const movingRoute = (service) => [
  "moving",
  "jepu9.example",
  "/moving/",
  "non_idempotent",
  "1500ms",
  "500ms",
  1,
  1,
  service,
];
const routeOf = (number) => [
  `route-${number}`,
  "jepu9.example",
  `/added-${number}/`,
  "idempotent",
  "1500ms",
  "500ms",
  0,
  2,
  "dispatch",
];

async function play() {
  const store = await startStore();
  open.push(store);
  const routes = [routeOf(0), movingRoute("dispatch")];
  let version = 3;
  const publish = () =>
    store.put(
      "config",
      "main",
      desiredState(version, routes, [
        ["stockdesk", "/healthz", 65, true],
        ["dispatch", "/healthz", 65, null],
        ["qcarchive", "/healthz", 65, null],
      ]),
    );
  publish();
  const paths = new Map();
  const machines = [];
  const upstreams = [];
  for (let number = 1; number <= machinesPerService; number += 1) {
    for (const service of services) {
      const name = `sidecar-${zone}-${machines.length + 1}`;
      const door = await store.openDoor();
      const link = await startLink(door.port);
      open.push(link);
      paths.set(name, { door, link });
      machines.push(
        await planMachine({
          name,
          zone,
          region,
          zones,
          service,
          storePort: link.port,
        }),
      );
    }
  }
  for (const machine of machines) agents.start(machine);
  for (const machine of machines) {
    const { name, service, control, upstream: port } = machine;
    const keyed = service === "stockdesk";
    const id = `i-${name}`;
    const upstream = await startUpstream({
      id,
      service,
      zone,
      control,
      port,
      keyed,
    });
    upstreams.push(upstream);
    open.push(upstream);
  }
  const ready = async () => {
    const all = await Promise.all(machines.map(isReady));
    return all.every(Boolean);
  };
  if (!await until(ready)) return 2;
  let ids = 0;
  const ask = async (machine, number) => {
    ids += 1;
    const { status } = await request(machine.outbound, {
      path: `/added-${number}/1`,
      id: `look-${ids}`,
      timeoutMs: 1_000,
    });
    return status;
  };
  const allServe = async () => {
    const all = await Promise.all(machines.map((each) => ask(each, 0)));
    return all.every((status) => status === 200);
  };
  if (!await until(allServe)) return 2;
  record(`${machines.length} machines serve`);
  let number = 0;
  /** Adds a route, and moves another to the other service. */
  const change = () => {
    number += 1;
    routes.push(routeOf(number));
    const service = number % 2 === 0 ? "dispatch" : "qcarchive";
    routes[1] = movingRoute(service);
    version += 1 + number % 3;
    publish();
    record(
      `version ${version} is confirmed: it adds /added-${number}/ and has ` +
        `/moving/ at ${service}`,
    );
    return { number, service, confirmedAt: performance.now() };
  };
  let refused = 0;
  let misrouted = 0;
  let asked = 0;
  const look = async (machine, published) => {
    const after = Math.round(performance.now() - published.confirmedAt);
    const status = await ask(machine, published.number);
    asked += 1;
    if (status === 404) refused += 1;
    record(
      `${machine.name} answers ${status} on /added-${published.number}/, ` +
        `sent ${after} ms after the confirmation`,
    );
    ids += 1;
    const id = `booking-${ids}`;
    const booked = await request(machine.outbound, {
      path: "/moving/1",
      method: "POST",
      body: "one seat",
      id,
      timeoutMs: 1_000,
    });
    const runs = upstreams.flatMap((each) =>
      each.runs.filter((run) => run.request === id).map(() => each.service)
    );
    if (runs.some((service) => service !== published.service)) misrouted += 1;
    record(
      `${machine.name} answers ${booked.status} to ${id}, sent after that; ` +
        `it was run by ${runs.join() || "no one"}`,
    );
  };
  for (const part of parts) {
    await pause(stableWindowMilliseconds + 1_000);
    // Who reads the store: the machines whose calls wait for changes.
    const readers = machines.filter(({ name }) =>
      paths.get(name).door.waiting() > 0
    ).slice(0, 2);
    if (readers.length < 2) return 2;
    const beganAt = performance.now();
    for (const { name } of readers) {
      if (trouble) part.begin(paths.get(name));
    }
    const names = readers.map(({ name }) => name).join(" and ");
    record(trouble ? `${names} ${part.name}` : "nothing happens");
    await pause(300);
    const published = change();
    await pause(part.bound + marginMilliseconds);
    const calm = machines.filter((each) => !readers.includes(each));
    while (performance.now() - beganAt < part.milliseconds - 300) {
      await Promise.all(calm.map((each) => look(each, published)));
      await pause(300);
    }
    for (const path of paths.values()) part.end(path);
    record("all machines reach the store again");
  }
  record(`${asked} times a machine in touch was asked after the bound`);
  record(`${refused} requests were refused with 404 though the route is there`);
  record(`${misrouted} bookings were run by the old service`);
  return refused + misrouted > 0 ? 1 : 0;
}

await runCase(play, async () => {
  await agents.stop();
  for (const each of open) each.close();
});
