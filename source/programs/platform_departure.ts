/**
 * How an agent on the platform leaves the coordination at the end of its
 * planned stop.
 *
 * @module
 */
import { type Agent, departedAgent } from "../core/agent.ts";
import type { Coordinator } from "../tasks/coordinator.ts";
import { pause } from "../tasks/time.ts";
import type { PlatformAdapters } from "./platform_adapters.ts";
import { departureTimeoutMilliseconds } from "./platform_policy.ts";

type Adapters = Pick<PlatformAdapters, "events" | "store">;

interface LeavingTasks {
  readonly agent: Agent;
  readonly coordinator: Pick<Coordinator, "stop" | "holder">;
}

/** Leaves the coordination, and records it for the agents that remain. */
export async function leaveCoordination(
  adapters: Adapters,
  tasks: LeavingTasks,
): Promise<void> {
  await tasks.coordinator.stop();
  await recordDeparture(adapters, tasks);
}

/**
 * Records in the store that this process has stopped, so that no later grantor
 * waits for it. To be called only when this agent holds and grants nothing any
 * more; if it still holds slices, nothing is written.
 */
async function recordDeparture(
  adapters: Adapters,
  tasks: LeavingTasks,
): Promise<void> {
  const held = tasks.coordinator.holder()?.heldSlices() ?? 0;
  if (held > 0) {
    return adapters.events.record("departure-untold", { held });
  }
  const written = await Promise.race([
    adapters.store.members.put(departedAgent(tasks.agent)),
    pause(departureTimeoutMilliseconds),
  ]);
  if (written?.isOk !== true) {
    adapters.events.record("departure-untold", { reason: "store-unavailable" });
  }
}
