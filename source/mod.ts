/**
 * The library: the decisions that the agents are made of, for others to embed.
 *
 * Every decision is a pure function from a read-only state and an event to the
 * next state and the effects to carry out. None of them reads a clock, does
 * input or output, or throws; times are in milliseconds.
 *
 * @module
 */
export {
  type AdmissionEffect,
  type AdmissionEvent,
  type AdmissionSettings,
  type AdmissionState,
  createAdmission as beginAdmission,
  type RankPolicy,
  stepAdmission,
} from "./core/admission/admission.ts";
export type { Agent, AgentId, Place } from "./core/agent.ts";
export {
  addMilliseconds as later,
  type Clocks,
  definitelyBefore as surelyBefore,
} from "./core/clocks.ts";
export {
  compareVersions,
  createReplica as beginReplica,
  mergeRecords,
  type Replica,
  rootDigest,
  type SharedRecord,
  takeUpdates as takeNews,
} from "./core/dissemination/replica.ts";
export {
  type Acceptance,
  emptyAcceptance as nothingAccepted,
  evaluateDocument as judge,
  type ParsedDocument as ReadDocument,
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
  createHolder as beginHolder,
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
export {
  createGrantor as beginGrantor,
  type Takeover,
} from "./core/ownership/takeover.ts";
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
  createRetryBudget as beginBudget,
  decideRetry,
  earnRetry,
  type RetrySettings,
} from "./core/retry/retry.ts";
export {
  chooseTarget,
  createRouting as beginRouting,
  type RoutingState,
  stepRouting,
} from "./core/routing/routing.ts";
export type { Transition } from "./core/step.ts";
export {
  type Coordinator,
  type CoordinatorOptions,
  startCoordinator,
} from "./tasks/coordinator.ts";
