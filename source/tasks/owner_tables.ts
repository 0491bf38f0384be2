/**
 * The ownership tables that an entry uses to find the owner of a key. They are
 * fetched from members of a group when an owner refuses a request.
 *
 * @module
 */
import {
  type Address,
  type Agent,
  type AgentId,
  distance,
} from "../core/agent.ts";
import {
  emptyTable,
  isNewerOwner,
  newerTable,
  ownerOfSlice,
  type OwnershipTable,
  type PlaceKey,
  sliceOfKey,
  type VersionedOwner,
} from "../core/ownership/table.ts";
import type { FencingToken } from "../core/ownership/token.ts";
import type { Peers, TableRequest } from "../ports/peers.ts";
import { monotonicNow } from "./time.ts";

/** The agent that one attempt is sent to. */
export interface Destination {
  readonly id: AgentId;
  readonly address: string;
  /** Null for an unknown agent. */
  readonly region: string | null;
}

/** The tables of all groups that have been requested. */
export interface OwnerTables {
  /**
   * The owner by the table or, if newer, the redirect; null if none is known.
   */
  ownerOf(
    group: string,
    key: string,
    namedOwner: VersionedOwner | null,
  ): Destination | null;
  /** Fetches a group's table, unless it was fetched a short time ago. */
  refresh(group: string): Promise<void>;
  /** The version of the group's table in use. */
  version(group: string): FencingToken;
}

const tableTimeoutMilliseconds = 250;

/** Starts without any table. */
export function startOwnerTables(options: {
  readonly agent: Agent;
  readonly agents: () => readonly Agent[];
  readonly agentById: (id: AgentId) => Agent | null;
  readonly localTable: (group: string) => OwnershipTable | null;
  readonly peers: Peers;
  readonly place: PlaceKey;
  readonly random: () => number;
  /** A table is not fetched again until it is this old. */
  readonly minTableAgeMilliseconds: number;
}): OwnerTables {
  const { agent, random } = options;
  let tables: ReadonlyMap<string, OwnershipTable> = new Map();
  const fetches = new Map<string, Promise<void>>();
  const fetchedAt = new Map<string, number>();

  function ownerOf(
    group: string,
    key: string,
    namedOwner: VersionedOwner | null,
  ): Destination | null {
    const table = tableOf(group);
    const owner = isNewerOwner(namedOwner, table.version)
      ? namedOwner.holder
      : ownerOfSlice(table, sliceOfKey(table, key, options.place));
    if (owner === null) return null;
    const known = options.agentById(owner.id);
    return {
      id: owner.id,
      address: owner.peerAddress,
      region: known?.place.region ?? null,
    };
  }

  function tableOf(group: string): OwnershipTable {
    const cached = tables.get(group) ?? emptyTable(group);
    return newerTable(cached, options.localTable(group));
  }

  /** Runs one fetch at a time for each group; concurrent callers share it. */
  function refresh(group: string): Promise<void> {
    const current = fetches.get(group);
    if (current !== undefined) return current;
    const age = monotonicNow() - (fetchedAt.get(group) ?? -Infinity);
    if (age < options.minTableAgeMilliseconds) return Promise.resolve();
    const started = fetchTable(group).finally(() => {
      fetches.delete(group);
      fetchedAt.set(group, monotonicNow());
    });
    fetches.set(group, started);
    return started;
  }

  async function fetchTable(group: string): Promise<void> {
    const members = options.agents().filter((agent) =>
      agent.group === group && agent.phase !== "lost"
    );
    const near = [...members].sort((left, right) =>
      distance(agent.place, left.place) - distance(agent.place, right.place)
    );
    const first = near[0];
    const other = near[1 + Math.floor(random() * (near.length - 1))];
    const asked = [first, other].flatMap((agent) => agent ?? []);
    await Promise.all(asked.map(async (member) => {
      const known = tableOf(group).version;
      const first = await ask(member.peerAddress, { group, known });
      // Agents of earlier releases reject a request with a known version.
      const result = first.isErr && first.error.kind === "rejected"
        ? await ask(member.peerAddress, { group })
        : first;
      if (result.isErr) return;
      const table = newerTable(tableOf(group), result.value);
      tables = new Map(tables).set(group, table);
    }));
  }

  function ask(address: Address, message: TableRequest) {
    return options.peers.call(address, "table", {
      message,
      timeoutMilliseconds: tableTimeoutMilliseconds,
    });
  }

  return { ownerOf, refresh, version: (group) => tableOf(group).version };
}
