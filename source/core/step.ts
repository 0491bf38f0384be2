/**
 * The one form that every decision takes: a pure function from a state and an
 * event to the next state and the effects that a task then carries out.
 *
 * @module
 */

/** What a step returns: the next state, and what is to be done outside. */
export interface Transition<State, Effect> {
  readonly state: State;
  readonly effects: readonly Effect[];
}

/** A decision: reads no clock, does no input or output, changes no argument. */
export type Step<State, Event, Effect> = (
  state: State,
  event: Event,
) => Transition<State, Effect>;

/** A transition that asks for nothing outside. */
export function unchanged<State, Effect>(
  state: State,
): Transition<State, Effect> {
  return { state, effects: [] };
}
