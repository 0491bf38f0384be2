/**
 * The open connections between an agent and its upstream go silent, and the
 * upstream ends and starts again. Its first liveness report arrives late. No
 * key may come to the new life with an epoch number that is not above those
 * with which the former one had it.
 */
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import {
  desiredState,
  elapsed,
  isReady,
  openAgents,
  openRecord,
  pause,
  planMachine,
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
const service = "stockdesk";
const rounds = 1;
const downMilliseconds = 800;
const reportDelayMilliseconds = 3_000;

async function play() {
  const store = await startStore();
  open.push(store);
  store.put(
    "config",
    "main",
    desiredState(3, [[
      "query",
      "jepu9.example",
      "/query/",
      "idempotent",
      "1000ms",
      "500ms",
      0,
      2,
      service,
    ]], [[service, "/healthz", 65, true]]),
  );
  const door = await store.openDoor();
  const machines = [];
  const upstreams = [];
  /** By key: the highest epoch number with which any upstream had it. */
  const highest = new Float64Array(65_536);
  let lastGrantAt = 0;
  let broken = 0;
  const granted = ({ id, from, last, fence }) => {
    lastGrantAt = performance.now();
    const life = lives.get(id);
    let stale = 0;
    for (let key = from; key <= last; key += 1) {
      if (life.seen[key] === 0 && fence <= highest[key]) stale += 1;
      life.seen[key] = fence;
      highest[key] = Math.max(highest[key], fence);
    }
    if (stale === 0) return;
    broken += 1;
    record(
      `${id} takes the keys ${from} to ${last} with number ${fence}; another ` +
        `life had ${stale} of them with ${highest[from]}`,
    );
  };
  const lives = new Map();
  let started = 0;
  const start = async (machine, options = {}) => {
    started += 1;
    const id = `i-${machine.name}-${started}`;
    lives.set(id, { seen: new Float64Array(65_536) });
    const upstream = await startUpstream({
      id,
      service,
      zone,
      control: machine.control,
      port: machine.behind,
      address: machine.settings.appAddr,
      keyed: true,
      hooks: { granted },
      ...options,
    });
    open.push(upstream);
    return upstream;
  };
  for (let number = 1; number <= 2; number += 1) {
    const machine = await planMachine({
      name: `sidecar-${zone}-${number}`,
      zone,
      region,
      zones: { [zone]: region },
      service,
      storePort: door.port,
    });
    // The upstream listens behind a link, which has the address of the settings.
    machine.behind = machine.upstream;
    machine.link = await startLink(machine.behind);
    machine.settings.appAddr = `127.0.0.1:${machine.link.port}`;
    open.push(machine.link);
    machines.push(machine);
    agents.start(machine);
    upstreams.push(await start(machine));
  }
  const ready = async () => {
    const all = await Promise.all(machines.map(isReady));
    return all.every(Boolean);
  };
  if (!await until(ready)) return 2;
  const sample = Array.from({ length: 128 }, (_, index) => index * 512 + 3);
  const held = () =>
    Promise.resolve(
      sample.every((key) => upstreams.some((each) => each.holdsKey(key))) &&
        upstreams.every((each) => sample.some((key) => each.holdsKey(key))),
    );
  for (let round = 1; round <= rounds; round += 1) {
    if (!await until(held)) return 2;
    await pause(3_500);
    // Just after the holds have been renewed.
    await until(() => Promise.resolve(performance.now() - lastGrantAt < 20));
    await until(() => Promise.resolve(performance.now() - lastGrantAt > 150));
    const [machine] = machines;
    const [former] = upstreams;
    // Its last report of this life, on a connection of its own.
    if (await former.report("ready") !== 200) return 2;
    if (trouble) {
      machine.link.silence();
      record(`the connections to ${former.id} go silent`);
    }
    former.close();
    record(`${former.id} ends`);
    await pause(downMilliseconds);
    upstreams[0] = await start(machine, {
      reportDelay: reportDelayMilliseconds,
    });
    record(`${upstreams[0].id} starts`);
    await pause(reportDelayMilliseconds + 2_000);
    record(
      `round ${round}: ${broken} ranges so far, ${elapsed().toFixed(0)} s`,
    );
  }
  record(`${broken} ranges came with a number that was not above all others`);
  return broken > 0 ? 1 : 0;
}

await runCase(play, async () => {
  await agents.stop();
  for (const each of open) each.close();
});
