/**
 * The result type of step functions. A decision with effects is a pure function
 * from a state and an event to the next state and to the effects that a task
 * then carries out. It reads no clock, does no input or output, and changes no
 * argument.
 *
 * @module
 */

/** The next state, and the effects to carry out. */
export interface Transition<State, Effect> {
  readonly state: State;
  readonly effects: readonly Effect[];
}
