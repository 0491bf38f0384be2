/**
 * The two targets that are compared for a request without a key.
 *
 * An entry that sends a target few requests knows nothing of its load, and finds
 * a target with few slots as good as any other until it is refused. Where slots
 * differ because targets are cold, targets are therefore drawn by their slots.
 *
 * @module
 */
import type { Agent } from "../agent.ts";

/**
 * Draws two of the targets, of which there is at least one. `random` returns a
 * number from 0 up to but not including 1.
 */
export type PickPair = (
  members: readonly Agent[],
  random: () => number,
) => readonly Agent[];

/** Draws all targets equally often. */
export const pickAnyPair: PickPair = (members, random) => {
  const first = Math.floor(random() * members.length);
  const offset = 1 + Math.floor(random() * (members.length - 1));
  const second = (first + offset) % members.length;
  return [members[first], members[second]].flatMap((agent) => agent ?? []);
};

/** Draws targets by their slots, and equally often where these are equal. */
export const pickPairBySlots: PickPair = (members, random) => {
  const [any] = members;
  if (members.every(({ slots }) => slots === any?.slots)) {
    return pickAnyPair(members, random);
  }
  const first = drawBySlots(members, random);
  const others = members.filter((agent) => agent !== first);
  const second = drawBySlots(others, random);
  return [first, second].flatMap((agent) => agent ?? []);
};

function drawBySlots(
  members: readonly Agent[],
  random: () => number,
): Agent | undefined {
  const sum = members.reduce((total, { slots }) => total + slots, 0);
  let left = random() * sum;
  for (const agent of members) {
    left -= agent.slots;
    if (left < 0) return agent;
  }
  return members.at(-1);
}
