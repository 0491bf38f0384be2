/**
 * A grantor that has been replaced tells the store that it has stopped: its
 * successor may be out of its reach, and waits for its leases.
 *
 * @module
 */
import type { AgentId } from "../core/agent.ts";
import type { Delegation } from "../core/ownership/delegation.ts";
import type { Repository } from "../ports/store.ts";
import { monotonicNow, pause } from "./time.ts";

/** Takes a grantor that grants no more out of its successor's delegation. */
export async function removeStoppedGrantor(options: {
  readonly delegations: Repository<Delegation>;
  readonly group: string;
  readonly grantor: AgentId;
  /** A mark that no other write has. */
  readonly newMark: () => string;
  readonly delayMilliseconds: number;
  readonly retryMilliseconds: number;
  /** Later than that nobody waits for it any more. */
  readonly timeoutMilliseconds: number;
  /** Whether there is no need any more, or no process to go on. */
  readonly isOver: () => boolean;
}): Promise<void> {
  const { delegations, group, grantor } = options;
  const end = monotonicNow() + options.timeoutMilliseconds;
  await pause(options.delayMilliseconds);
  while (monotonicNow() < end && !options.isOver()) {
    const read = await delegations.read(group);
    const found = read.isOk ? read.value : null;
    if (read.isOk && !found?.value.earlierGrantors.includes(grantor)) return;
    // The same agent may have claimed a later epoch since it began to read.
    if (found !== null && !options.isOver()) {
      const value: Delegation = {
        ...found.value,
        earlierGrantors: found.value.earlierGrantors.filter((id) =>
          id !== grantor
        ),
        writerMark: options.newMark(),
      };
      const { version } = found;
      const written = await delegations.write(group, value, { version });
      if (written.isOk) return;
    }
    await pause(options.retryMilliseconds);
  }
}
