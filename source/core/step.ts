/**
 * The one form that decisions with effects take: a pure function from a state
 * and an event to the next state and the effects that a task then carries out.
 * It reads no clock, does no input or output, and changes no argument.
 *
 * @module
 */

/** What a step returns: the next state, and what is to be done outside. */
export interface Transition<State, Effect> {
  readonly state: State;
  readonly effects: readonly Effect[];
}
