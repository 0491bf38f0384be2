/**
 * What is left of a request's time when it is sent on to another agent.
 *
 * @module
 */
import type { ProxyRequest } from "../../ports/upstream.ts";

/** The next agent answers this much before this one gives up. */
const hopMarginMilliseconds = 5;

/** In whole milliseconds from the departure on. */
export interface TimeLeft {
  readonly deadlineMilliseconds: number;
  /** Below zero once it has passed; null for none. */
  readonly objectiveMilliseconds: number | null;
}

/** What the next agent is told of a request that leaves now. */
export function timeLeft(
  { deadlineAt, objectiveAt }: Pick<ProxyRequest, "deadlineAt" | "objectiveAt">,
  now: number,
): TimeLeft {
  const left = Math.floor(deadlineAt - now - hopMarginMilliseconds);
  return {
    deadlineMilliseconds: Math.max(1, left),
    objectiveMilliseconds: objectiveAt === null
      ? null
      : Math.floor(objectiveAt - now),
  };
}
