/**
 * The time that a request has left when it is forwarded to another agent.
 *
 * @module
 */
import type { ProxyRequest } from "../../ports/upstream.ts";

/**
 * Taken off the deadline, so that the next agent answers before this one gives
 * up.
 */
const hopMarginMilliseconds = 5;

/** What a request has left, in whole milliseconds from its departure. */
export interface TimeLeft {
  /** At least 1. */
  readonly deadlineMilliseconds: number;
  /** Negative once the objective has passed; null without an objective. */
  readonly objectiveMilliseconds: number | null;
}

/** What a request has left that is forwarded at `now`. */
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
