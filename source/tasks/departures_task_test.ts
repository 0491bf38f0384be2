import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, it } from "node:test";
import { Result } from "true-myth";
import { hashText } from "../adapters/hashing.ts";
import type { RecordedDeparture } from "../core/target/departures.ts";
import type { TargetReport } from "../core/target/registration.ts";
import type { Peers } from "../ports/peers.ts";
import { testAgent } from "../../tests/test_agent.ts";
import { pauseClock, type PausedClock } from "../../tests/test_clock.ts";
import { startDepartures } from "./departures_task.ts";
import { startStoreEra } from "./store_era_task.ts";
import {
  type RegistrationTask,
  startRegistration,
} from "./registration_task.ts";

const agent = testAgent("host-1/a", { host: "host-1" });
const near = testAgent("host-2/a", {
  host: "host-2",
  peerAddress: "127.0.0.1:3",
});
const events = { record: () => undefined };
const ready: TargetReport = {
  id: "i-1",
  startedAt: 1_000,
  sequence: 1,
  phase: "serving",
  service: "booking",
  slots: 6,
  coldMilliseconds: 0,
};

/** What outlives a process of the agent, and how it can fail. */
function startSurroundings() {
  let stored: readonly RecordedDeparture[] | null = null;
  let witnessed: readonly RecordedDeparture[] = [];
  const down = new Set<"store" | "other agents">();
  const refused = { kind: "refused", detail: "down" } as const;
  let writes = 0;
  const storeEra = startStoreEra({ events });
  storeEra.handleAnswer(1);
  const peers: Peers = {
    call(_address, method, { message }) {
      if (down.has("other agents")) {
        return Promise.resolve(
          Result.err({ kind: "unreachable", detail: "down" }),
        );
      }
      if (method === "storeDepartures") {
        ({ departures: witnessed } = message as {
          readonly departures: readonly RecordedDeparture[];
        });
      }
      const answer = method === "departuresOf" ? witnessed : null;
      return Promise.resolve(Result.ok(answer as never));
    },
    close: () => Promise.resolve(),
  };
  const store = {
    read: () =>
      Promise.resolve(
        down.has("store") ? Result.err(refused) : Result.ok(stored ?? []),
      ),
    put(_host: string, departures: readonly RecordedDeparture[]) {
      if (down.has("store")) return Promise.resolve(Result.err(refused));
      writes += 1;
      stored = departures;
      return Promise.resolve(Result.ok(null));
    },
  };
  return {
    down,
    peers,
    store,
    storeEra,
    writes: () => writes,
    stored: () => stored,
    /** The store goes back to a copy without departures. */
    returnFromOlderCopy() {
      stored = null;
      storeEra.handleAnswer(storeEra.current().era + 1);
    },
  };
}

type Surroundings = ReturnType<typeof startSurroundings>;

/** One process of the agent, which writes its entry unless the store is down. */
function startProcess(
  { peers, store, storeEra, down }: Surroundings,
  replaced: boolean,
  evacuated = false,
) {
  const registration: RegistrationTask = startRegistration({
    service: "booking",
    evacuated,
    silenceMilliseconds: 3_000,
    events,
    onServing: () => undefined,
    onReplaced: () => undefined,
    keepDepartures: (acknowledged) => departures.keep(acknowledged),
  });
  const departures = startDepartures({
    agent,
    agents: () => [agent, near],
    store,
    peers,
    events,
    hash: hashText,
    times: {
      maxKeepMilliseconds: 800,
      storeWaitMilliseconds: 1_000,
      callTimeoutMilliseconds: 400,
      retryMilliseconds: 400,
    },
    restore: { storeEra, random: () => 0.5 },
    onLoaded: registration.loadDepartures,
  });
  if (!down.has("store")) departures.handleRegistered({ replaced });
  return {
    registration,
    departures,
    stop() {
      registration.stop();
      departures.stop();
    },
  };
}

// Guards against requests to a target that has left (DRAIN): its agent was
// killed after it had acknowledged that, and the next process believed a report
// that had been sent before and came late.
describe("a target that leaves, whose agent starts again", () => {
  let clock: PausedClock;
  let surroundings: Surroundings;
  let former: ReturnType<typeof startProcess>;
  let next: ReturnType<typeof startProcess> | null = null;
  beforeEach(async () => {
    clock = pauseClock();
    surroundings = startSurroundings();
    former = startProcess(surroundings, false);
    former.registration.report(ready);
    await clock.tickAsync(10);
    assert.ok(former.registration.accepts({ keyed: false }));
  });
  afterEach(() => {
    former.stop();
    next?.stop();
    next = null;
    clock.uninstall();
  });

  async function restart(replaced = true) {
    former.stop();
    next = startProcess(surroundings, replaced);
    next.registration.report(ready);
    await clock.tickAsync(2_500);
    return next.registration;
  }

  const leave = {
    "by a final notice"() {
      former.registration.leave({ id: ready.id, startedAt: ready.startedAt });
    },
    "by its state"() {
      former.registration.report({ ...ready, sequence: 2, phase: "leaving" });
    },
  };
  const outages = [[], ["store"], ["other agents"]] as const;
  for (const [way, tell] of Object.entries(leave)) {
    for (const outage of outages) {
      const without = outage.length === 0 ? "" : `, without the ${outage[0]}`;
      it(`${way}${without}, is not used by the next process`, async () => {
        for (const name of outage) surroundings.down.add(name);
        tell();
        assert.ok(await former.registration.departuresKept());
        const registration = await restart();
        assert.equal(registration.target()?.id, ready.id);
        assert.ok(!registration.accepts({ keyed: false }));
      });
    }
  }

  it("is used again once it has started anew", async () => {
    leave["by a final notice"]();
    await former.registration.departuresKept();
    const registration = await restart();
    registration.report({ ...ready, startedAt: 2_000 });
    assert.ok(registration.accepts({ keyed: false }));
  });

  it("is not acknowledged when nobody else keeps that", async () => {
    surroundings.down.add("store").add("other agents");
    leave["by a final notice"]();
    assert.ok(!await former.registration.departuresKept());
    surroundings.down.delete("store");
    assert.ok(await former.registration.departuresKept());
  });

  it("has that written once, however often it reports", async () => {
    for (let sequence = 2; sequence < 6; sequence += 1) {
      former.registration.report({ ...ready, sequence, phase: "leaving" });
      await former.registration.departuresKept();
    }
    assert.equal(surroundings.writes(), 1);
  });

  it("has that written again once the store has gone back", async () => {
    leave["by a final notice"]();
    await former.registration.departuresKept();
    const stored = surroundings.stored();
    surroundings.returnFromOlderCopy();
    surroundings.down.add("store");
    await clock.tickAsync(2_000);
    surroundings.down.delete("store");
    await clock.tickAsync(2_000);
    assert.deepEqual(surroundings.stored(), stored);
  });

  // Guards against requests to a target that has left (DRAIN): the store has
  // gone back to a copy without the agent's entry, which is no proof that the
  // agent had no former process.
  it("is not used by the next process that finds no entry in the store", async () => {
    leave["by a final notice"]();
    assert.ok(await former.registration.departuresKept());
    former.stop();
    surroundings.returnFromOlderCopy();
    const registration = await restart(false);
    assert.ok(!registration.accepts({ keyed: false }));
  });

  it("and has not left is used by the next process", async () => {
    assert.ok((await restart()).accepts({ keyed: false }));
  });

  it("is not used while nobody can say whether it has left", async () => {
    surroundings.down.add("store").add("other agents");
    const registration = await restart();
    assert.ok(!registration.accepts({ keyed: false }));
    surroundings.down.delete("other agents");
    await clock.tickAsync(1_000);
    registration.report({ ...ready, sequence: 2 });
    assert.ok(registration.accepts({ keyed: false }));
  });

  // Guards against requests to an evacuated data centre, also between the start
  // of an agent and its learning of the evacuation.
  it("is sent only keyed work for 1.5 s while evacuated, and none before that is known", async () => {
    former.stop();
    former = startProcess(surroundings, true, true);
    former.registration.report(ready);
    await clock.tickAsync(10);
    const { registration } = former;
    const accepts = () =>
      [true, false].map((keyed) => registration.accepts({ keyed }));
    assert.deepEqual(accepts(), [false, false]);
    registration.setEvacuated(false);
    assert.deepEqual(accepts(), [true, true]);
    registration.setEvacuated(true);
    assert.deepEqual(accepts(), [true, false]);
    assert.ok(!registration.acceptsWaiting({ keyed: false }));
    await clock.tickAsync(1_490);
    assert.deepEqual(accepts(), [true, false]);
    await clock.tickAsync(20);
    assert.deepEqual(accepts(), [false, false]);
    assert.ok(!registration.acceptsWaiting({ keyed: true }));
    registration.setEvacuated(false);
    assert.deepEqual(accepts(), [true, true]);
  });
});
