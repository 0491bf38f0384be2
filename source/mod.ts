/**
 * The public interface of the library, for use in other programs: the state
 * machines of an agent, and the coordinator, the task that runs those that
 * assign keys to servers.
 *
 * Each state machine is a pure function from a read-only state and an event to
 * the next state and the effects to carry out. Neither these nor the other
 * functions exported from `core` read a clock, perform input or output, or
 * throw; times are in milliseconds.
 *
 * @module
 */
export { stepAdmission } from "./core/admission/admission.ts";
export type {
  AdmissionEffect,
  AdmissionEvent,
} from "./core/admission/events.ts";
export type {
  AdmissionSettings,
  RankPolicy,
} from "./core/admission/settings.ts";
export {
  type AdmissionState,
  createAdmission,
} from "./core/admission/state.ts";
export type { Agent, AgentId, Place } from "./core/agent.ts";
export {
  addMilliseconds,
  type Clocks,
  definitelyBefore,
} from "./core/clocks.ts";
export {
  compareVersions,
  createReplica,
  mergeRecords,
  type Replica,
  rootDigest,
  type SharedRecord,
  takeUpdates,
} from "./core/dissemination/replica.ts";
export {
  type Acceptance,
  emptyAcceptance,
  evaluateDocument,
  type ParsedDocument,
} from "./core/document/document.ts";
export {
  type Delegation,
  successorDelegation,
} from "./core/ownership/delegation.ts";
export { stepGrantor } from "./core/ownership/grantor.ts";
export { tableOf } from "./core/ownership/grantor_table.ts";
export type {
  GrantorEffect,
  GrantorEvent,
  GrantorSettings,
  GrantorState,
} from "./core/ownership/grantor_state.ts";
export {
  createHolder,
  decideHold,
  heldGrants,
  type HoldDecision,
  type HolderEvent,
  type HolderState,
  stepHolder,
} from "./core/ownership/holder.ts";
export type { Renewal, RenewalAnswer } from "./core/ownership/renewal.ts";
export {
  groupOfKey,
  type KeyHash,
  ownerOfSlice,
  type OwnershipTable,
  sliceOfKey,
} from "./core/ownership/table.ts";
export { createGrantor, type Takeover } from "./core/ownership/takeover.ts";
export {
  compareTokens,
  type FencingToken,
  formatToken,
  parseToken,
} from "./core/ownership/token.ts";
export {
  combineFailures,
  type Failure,
  notRun,
  type Outcome,
  unknownOutcome,
} from "./core/request/outcome.ts";
export {
  createRetryBudget,
  decideRetry,
  earnRetry,
  type RetrySettings,
} from "./core/retry/retry.ts";
export {
  chooseTarget,
  createRouting,
  type RoutingState,
  stepRouting,
} from "./core/routing/routing.ts";
export type { Transition } from "./core/step.ts";
export {
  type Coordinator,
  type CoordinatorOptions,
  startCoordinator,
} from "./tasks/coordinator.ts";
