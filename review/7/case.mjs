/**
 * An upstream says that it leaves, by DELETE, and its machine confirms. The
 * agent there is killed and started again. A liveness report that the upstream
 * sent before arrives late, at the new process. Later than `drain` after the
 * confirmation, clients of both machines send orders.
 */
import { once } from "node:events";
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
  request,
  runCase,
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
const service = "dispatch";
const stableWindowMilliseconds = 3_000;
const drainMilliseconds = 2_000;
/** Of the killed process, until the platform starts it again. */
const downMilliseconds = 500;
/** The report was sent before the last word and arrives so much later. */
const reportDelayMilliseconds = 2_600;
/** The upstream serves on for so long after the confirmation. */
const servesOnMilliseconds = 8_000;

async function play() {
  const store = await startStore();
  open.push(store);
  store.put(
    "config",
    "main",
    desiredState(3, [[
      "order",
      "jepu9.example",
      "/order/",
      "non_idempotent",
      "1200ms",
      "600ms",
      0,
      2,
      service,
    ]], [[service, "/healthz", 65, null]]),
  );
  const door = await store.openDoor();
  const machines = [];
  const upstreams = [];
  const processes = [];
  for (let number = 1; number <= 3; number += 1) {
    const machine = await planMachine({
      name: `sidecar-${zone}-${number}`,
      zone,
      region,
      zones: { [zone]: region },
      service,
      storePort: door.port,
    });
    machines.push(machine);
    processes.push(agents.start(machine));
    const upstream = await startUpstream({
      id: `i-${machine.name}`,
      service,
      zone,
      control: machine.control,
      port: machine.upstream,
      slots: 6,
      workMilliseconds: 100,
    });
    upstreams.push(upstream);
    open.push(upstream);
  }
  let ids = 0;
  const order = async (machine) => {
    ids += 1;
    const id = `order-${ids}`;
    const { status } = await request(machine.outbound, {
      path: "/order/1",
      method: "POST",
      body: "two pallets",
      id,
    });
    return { id, status };
  };
  const ready = async () => {
    const all = await Promise.all(machines.map(isReady));
    return all.every(Boolean);
  };
  if (!await until(ready)) return 2;
  const serve = async () => {
    const all = await Promise.all(machines.map(order));
    return all.every(({ status }) => status === 200) &&
      upstreams.every(({ runs }) => runs.length > 0);
  };
  if (!await until(serve)) return 2;
  record("all machines serve");
  await pause(stableWindowMilliseconds + 1_000);

  const [machine] = machines;
  const [leaving] = upstreams;
  // Sent now, and held up on its way.
  const report = leaving.composeReport();
  record(`${leaving.id} sends a liveness report (ready)`);
  if (!trouble) {
    record(`it is answered ${await leaving.tell("PUT", report)}`);
  }
  const confirmation = await leaving.leave();
  const confirmedAt = elapsed();
  if (confirmation !== 200) return 2;
  record(`${leaving.id} says by DELETE that it leaves: ${confirmation}`);
  await pause(100);
  const [former] = processes;
  const exit = once(former, "exit");
  former.kill("SIGKILL");
  await exit;
  record(`the agent of ${machine.name} is killed`);
  await pause(downMilliseconds);
  processes[0] = agents.start(machine);
  const restartedAt = performance.now();
  record(`the agent of ${machine.name} is started again`);
  if (trouble) {
    await pause(reportDelayMilliseconds - 100 - downMilliseconds);
    const status = await leaving.tell("PUT", report);
    record(`the report of ${leaving.id} arrives now and is answered ${status}`);
  }
  await pause(
    restartedAt + stableWindowMilliseconds + 200 - performance.now(),
  );
  record(`${machine.name} is in touch again: ready ${await isReady(machine)}`);
  const before = leaving.runs.length;
  const end = performance.now() +
    (confirmedAt - elapsed()) * 1_000 + servesOnMilliseconds;
  let sent = 0;
  while (performance.now() < end - 500) {
    const results = await Promise.all(machines.map(order));
    sent += results.length;
    for (const { id, status } of results) {
      const by = upstreams.filter(({ runs }) =>
        runs.some((run) => run.request === id)
      ).map((each) => each.id);
      record(`${id} is answered ${status}, run by ${by.join() || "no one"}`);
    }
    await pause(100);
  }
  const late = leaving.runs.slice(before).filter(({ at }) =>
    (at - confirmedAt) * 1_000 > drainMilliseconds
  );
  for (const { request: id, at } of late) {
    record(
      `${id} reached ${leaving.id} ${(at - confirmedAt).toFixed(3)} s after ` +
        "the confirmation",
    );
  }
  record(
    `${late.length} of ${sent} requests reached an upstream that had left`,
  );
  return late.length > 0 ? 1 : 0;
}

await runCase(play, async () => {
  await agents.stop();
  for (const each of open) each.close();
});
