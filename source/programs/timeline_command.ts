/**
 * The command that prints the events of all agents in causal order, as text or
 * as an HTML page.
 *
 * @module
 */
import { startLogicalClock } from "../adapters/logs/logical_clock.ts";
import { startMetrics } from "../adapters/logs/metrics.ts";
import { connectPeers } from "../adapters/hops/peer_client.ts";
import { timelinePage } from "../adapters/logs/timeline_page.ts";
import { orderEvents } from "../core/timeline/order.ts";
import type { TimelineEvent } from "../ports/events.ts";
import type { Peers } from "../ports/peers.ts";
import type { CommandOutput } from "./document_command.ts";
import { ExitCode } from "./exit_code.ts";

const callTimeoutMilliseconds = 3_000;

/**
 * Gathers the events of all agents that one agent knows, and prints them.
 * Agents that don't answer are named on the error output. Resolves to an exit
 * code.
 */
export async function showTimeline(options: {
  readonly flags: Readonly<Record<string, unknown>>;
  readonly output: CommandOutput;
}): Promise<number> {
  const { flags, output } = options;
  const address = flags["agent"];
  const format = String(flags["format"] ?? "text");
  if (address === undefined || !["text", "html"].includes(format)) {
    output.writeError(
      "timeline: pass the peer address of any agent with --agent ip:port, and " +
        "--format as text or html",
    );
    return ExitCode.usage;
  }
  const peers = connectPeers({
    clock: startLogicalClock(),
    metrics: startMetrics(),
  });
  const gathered = await gatherEvents(peers, String(address));
  await peers.close();
  if (gathered === null) {
    output.writeError(`timeline: the agent ${address} did not answer`);
    return ExitCode.unavailable;
  }
  const request = flags["request"];
  const events = orderEvents(gathered.events).filter((event) =>
    request === undefined || event.detail["request"] === String(request)
  );
  for (const host of gathered.missing) {
    output.writeError(
      `timeline: no events from ${host}, its agent did not answer`,
    );
  }
  if (format === "html") output.writeLine(timelinePage(events));
  else for (const event of events) output.writeLine(formatEvent(event));
  return ExitCode.success;
}

async function gatherEvents(peers: Peers, address: string): Promise<
  {
    readonly events: readonly TimelineEvent[];
    readonly missing: readonly string[];
  } | null
> {
  const options = { timeoutMilliseconds: callTimeoutMilliseconds };
  const roster = await peers.call(address, "roster", {
    ...options,
    message: {},
  });
  if (roster.isErr) return null;
  const parts = await Promise.all(roster.value.map(async (agent) => {
    const result = await peers.call(agent.address, "events", {
      ...options,
      message: { after: 0 },
    });
    return result.isOk
      ? { events: result.value, missing: [] }
      : { events: [], missing: [agent.host] };
  }));
  return {
    events: parts.flatMap((part) => part.events),
    missing: parts.flatMap((part) => part.missing),
  };
}

function formatEvent(event: TimelineEvent): string {
  const time = new Date(event.wallTime).toISOString();
  const detail = Object.entries(event.detail)
    .map(([name, value]) => `${name}=${value}`)
    .join(" ");
  return `${time} ${event.logicalTime} ${event.agent} ${event.kind} ${detail}`
    .trimEnd();
}
