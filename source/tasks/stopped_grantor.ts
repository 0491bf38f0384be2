/**
 * Records in the store that a superseded grantor has stopped. Its successor
 * waits for its leases, and the two may be unable to reach each other.
 *
 * @module
 */
import type { AgentId } from "../core/agent.ts";
import type { Delegation } from "../core/ownership/delegation.ts";
import type { Repository } from "../ports/store.ts";
import { monotonicNow, pause } from "./time.ts";

/**
 * Removes a stopped grantor from the earlier grantors of its successor's
 * delegation. Retries until that is done, cancelled or timed out.
 */
export async function removeStoppedGrantor(options: {
  readonly delegations: Repository<Delegation>;
  readonly group: string;
  readonly grantor: AgentId;
  /** Returns a marker that is unique to one write to the store. */
  readonly newWriterMark: () => string;
  readonly delayMilliseconds: number;
  readonly retryMilliseconds: number;
  /** After this time no successor waits for the grantor any more. */
  readonly timeoutMilliseconds: number;
  /** Whether the grantor's task has been stopped; nothing is written then. */
  readonly isCancelled: () => boolean;
}): Promise<void> {
  const { delegations, group, grantor } = options;
  const end = monotonicNow() + options.timeoutMilliseconds;
  await pause(options.delayMilliseconds);
  while (monotonicNow() < end && !options.isCancelled()) {
    const read = await delegations.read(group);
    const found = read.isOk ? read.value : null;
    if (read.isOk && !found?.value.earlierGrantors.includes(grantor)) return;
    // The same agent may have claimed a later epoch during the read.
    if (found !== null && !options.isCancelled()) {
      const value: Delegation = {
        ...found.value,
        earlierGrantors: found.value.earlierGrantors.filter((id) =>
          id !== grantor
        ),
        writerMark: options.newWriterMark(),
      };
      const { version, era } = found;
      const written = await delegations.write(group, value, { version, era });
      if (written.isOk) return;
    }
    await pause(options.retryMilliseconds);
  }
}
