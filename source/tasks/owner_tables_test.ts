import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { Result } from "true-myth";
import { testAgent } from "../../tests/test_agent.ts";
import type { OwnershipTable } from "../core/ownership/table.ts";
import { noToken } from "../core/ownership/token.ts";
import type { Peers, TableRequest } from "../ports/peers.ts";
import type { GrantorsTask } from "./grantors_task.ts";
import { startOwnerTables } from "./owner_tables.ts";
import { peerMethods } from "./peer_methods.ts";
import type { GossipTask } from "./gossip_task.ts";

const group = "timetable.0";
const member = testAgent("member", { group, peerAddress: "127.0.0.1:9" });

const table: OwnershipTable = {
  group,
  version: { epoch: 2, sequence: 7 },
  holders: [{ id: member.id, peerAddress: member.peerAddress }],
  owners: [0],
  hashedSlices: 1,
  isolatedKeys: [],
};

/** The calls as served by a member that has the table. */
const methods = peerMethods({
  gossip: { self: () => member } as unknown as GossipTask,
  grantors: { table: () => table } as unknown as GrantorsTask,
  holder: () => null,
  census: () => Promise.resolve({ applied: [], missing: [] }),
  reportWatch: () => undefined,
  eventsAfter: () => [],
});

/** Starts tables that are empty; `asked` are the requests to the member. */
function startTables(options: { readonly earlierRelease: boolean }) {
  const asked: TableRequest[] = [];
  const answers: (OwnershipTable | null)[] = [];
  async function call(
    _address: string,
    _method: string,
    { message }: { readonly message: TableRequest },
  ) {
    asked.push(message);
    if (options.earlierRelease && message.known !== undefined) {
      return Result.err({ kind: "rejected", detail: "unknown field" });
    }
    const answer = await methods.table(message);
    answers.push(answer);
    return Result.ok(answer);
  }
  const tables = startOwnerTables({
    agent: testAgent("entry"),
    agents: () => [member],
    agentById: () => member,
    localTable: () => null,
    peers: { call: call as Peers["call"], close: () => Promise.resolve() },
    place: () => 0,
    random: () => 0,
    minTableAgeMilliseconds: 0,
  });
  return { tables, asked, answers };
}

describe("the ownership tables of an entry", () => {
  it("are transferred once for each version", async () => {
    const { tables, asked, answers } = startTables({ earlierRelease: false });
    await tables.refresh(group);
    await tables.refresh(group);
    assert.deepEqual(asked.map(({ known }) => known), [noToken, table.version]);
    assert.deepEqual(answers, [table, null]);
    assert.equal(tables.ownerOf(group, "key", null)?.id, member.id);
  });

  it("are fetched from agents of an earlier release too", async () => {
    const { tables } = startTables({ earlierRelease: true });
    await tables.refresh(group);
    assert.equal(tables.ownerOf(group, "key", null)?.id, member.id);
  });
});
