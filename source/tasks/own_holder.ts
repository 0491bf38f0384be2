/**
 * The holder of the target beside this agent. It is started once the
 * configuration says that the target's service has keys, and gives its slices
 * up while the target leaves or its region is not allowed.
 *
 * @module
 */
import type { Agent } from "../core/agent.ts";
import {
  type Configuration,
  type Service,
  serviceNamed,
} from "../core/document/document.ts";
import { groupOfHost } from "../core/ownership/membership.ts";
import type { KeyHash } from "../core/ownership/table.ts";
import {
  type HolderOptions,
  type HolderTask,
  startHolder,
} from "./holder_task.ts";

/** The holder, and the decisions when it runs. */
export interface OwnHolder {
  /** Null for a service without keys, and until the configuration is known. */
  current(): HolderTask | null;
  /** Called with each configuration, once it is in force. */
  handleConfiguration(configuration: Configuration): void;
  /** Called when the target begins or ends to take no new work. */
  setLeaving(leaving: boolean): void;
  /** Starts no holder from now on. */
  beginStop(): void;
}

/** Creates the decisions for an agent whose configuration is not known yet. */
export function prepareOwnHolder(options: {
  readonly agent: Agent;
  readonly hash: KeyHash;
  /** Whether the configuration in force lets the target own keys. */
  readonly isAllowed: () => boolean;
  /** Announces the group that the target's holder belongs to. */
  readonly join: (group: string) => void;
  readonly candidates: (
    group: string,
  ) => ReturnType<HolderOptions["candidates"]>;
  readonly holder: Omit<HolderOptions, "agent" | "leaving" | "candidates">;
}): OwnHolder {
  const { agent, hash } = options;
  const { events } = options.holder;
  let holder: HolderTask | null = null;
  let stopping = false;
  /** Whether the target takes no new work. */
  let targetLeaves = agent.phase !== "serving";
  /** Whether the configuration lets the target own keys in its region. */
  let ownsKeys = true;

  /** A target in a region that is no longer allowed gives its keys up. */
  function updateRegion({ revision }: Configuration): void {
    const allowed = options.isAllowed();
    if (allowed === ownsKeys) return;
    ownsKeys = allowed;
    events.record("key-region-changed", {
      service: agent.service,
      region: agent.place.region,
      allowed,
      revision,
    });
    holder?.setLeaving(targetLeaves || !ownsKeys);
  }

  function startHolding(service: Service): HolderTask | null {
    if (service.keys === null || stopping) return null;
    const group = groupOfHost(agent.host, {
      service: service.name,
      groups: service.keys.groups,
      hash,
    });
    options.join(group);
    return startHolder({
      ...options.holder,
      agent: { ...agent, group },
      leaving: targetLeaves,
      candidates: () => options.candidates(group),
    });
  }

  return {
    current: () => holder,
    handleConfiguration(configuration) {
      updateRegion(configuration);
      const service = serviceNamed(configuration, agent.service);
      if (service !== null && holder === null && ownsKeys) {
        holder = startHolding(service);
      }
    },
    setLeaving(leaving) {
      targetLeaves = leaving;
      holder?.setLeaving(leaving || !ownsKeys);
    },
    beginStop() {
      stopping = true;
    },
  };
}
