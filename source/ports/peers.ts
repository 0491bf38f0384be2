/**
 * What agents ask of each other.
 *
 * @module
 */
import type { Result } from "true-myth";
import type { Address, AgentId } from "../core/agent.ts";
import type {
  RecordVersion,
  SharedRecord,
} from "../core/dissemination/replica.ts";
import type { Handover } from "../core/ownership/handover_message.ts";
import type {
  Renewal,
  RenewalAnswer,
  TakeoverAnswer,
} from "../core/ownership/renewal.ts";
import type { OwnershipTable } from "../core/ownership/table.ts";
import type { FencingToken } from "../core/ownership/token.ts";
import type { TimelineEvent } from "./events.ts";

/** Why a call to a peer brought no answer. */
export interface PeerFault {
  readonly kind: "unreachable" | "timeout" | "rejected";
  readonly detail: string;
}

/** News of one agent for another. */
export interface Exchange {
  readonly from: AgentId;
  readonly news: readonly SharedRecord[];
  readonly root: number;
  /** The revision of the configuration in force at the sender. */
  readonly revision: number;
}

/** The other agent's news, and its digest after taking the caller's in. */
export interface ExchangeReply {
  readonly id: AgentId;
  readonly news: readonly SharedRecord[];
  readonly root: number;
  /** The revision of the configuration in force at the agent that answers. */
  readonly revision: number;
  /** Whether the agent that answers may trust its own configuration. */
  readonly fresh: boolean;
}

/** Asked when digests differ though the news was told. */
export interface Comparison {
  readonly digests: readonly number[];
}

/** The versions in the buckets that differ. */
export interface ComparisonReply {
  readonly digests: readonly number[];
  readonly versions: readonly RecordVersion[];
}

/** Records handed over after a comparison, and those asked for. */
export interface Transfer {
  readonly offered: readonly SharedRecord[];
  readonly wanted: readonly string[];
}

/** Who grants in a group. */
export interface GrantorLocation {
  readonly address: Address;
  readonly epoch: number;
}

/**
 * How far the agent asked shall go: say whether it grants itself, or what it
 * knows as a holder, or search the store and take over if nobody grants.
 */
export type LocateEffort = "own" | "known" | "take-over";

/** A holder's question for its group's grantor. */
export interface LocateRequest {
  readonly group: string;
  /**
   * The grantor that the asker could not reach, with the highest epoch that it
   * has accepted: no earlier grantor is of use. Null when it knows none.
   */
  readonly unreachable: GrantorLocation | null;
  readonly effort: LocateEffort;
}

/** A new grantor's claim on a server. */
export interface EpochClaim {
  readonly group: string;
  readonly epoch: number;
  readonly grantorAddress: Address;
}

/** What an agent says of the grantor of its group. */
export interface GrantorReachability {
  /** The process that answers. */
  readonly id: AgentId;
  /** The highest epoch that it has accepted; 0 outside of the group. */
  readonly epoch: number;
  /** Whether that grantor has answered it just now. */
  readonly hears: boolean;
}

/** An entry's question for a group's table. */
export interface TableRequest {
  readonly group: string;
  /** The version that the asker has; left out by one that takes any. */
  readonly known?: FencingToken | undefined;
}

/** What an agent says of the configuration that it applies. */
export interface AppliedRevision {
  readonly host: string;
  readonly revision: number;
  readonly fresh: boolean;
}

/** What an agent answers about many agents. */
export interface CensusReply {
  readonly applied: readonly AppliedRevision[];
  /** Hosts that did not answer. */
  readonly missing: readonly string[];
}

/** A body that an agent would send on, in place of the body itself. */
export interface BodyOfferRequest {
  readonly request: string;
  readonly service: string;
  readonly bytes: number;
  /** What is left of the objective; below zero once it has passed. */
  readonly objectiveMilliseconds: number;
  readonly deadlineMilliseconds: number;
}

/** Whether a body may be sent to the agent asked. */
export type BodyOfferReply =
  | { readonly kind: "come" }
  | {
    readonly kind: "refused";
    readonly reason: "queue-full" | "target-leaving";
    /** When to come back, in milliseconds; null where nothing is known. */
    readonly retryAfterMilliseconds: number | null;
  };

/** What one agent can ask of another; also what each agent serves. */
export interface PeerMethods {
  exchange(message: Exchange): Promise<ExchangeReply>;
  compare(message: Comparison): Promise<ComparisonReply>;
  transfer(message: Transfer): Promise<readonly SharedRecord[]>;
  /** Null when the agent asked doesn't grant in the group. */
  renew(renewal: Renewal): Promise<RenewalAnswer | null>;
  locateGrantor(question: LocateRequest): Promise<GrantorLocation | null>;
  /** Null when the server refuses the epoch as too old. */
  takeEpoch(claim: EpochClaim): Promise<TakeoverAnswer | null>;
  /** Whether the grantor named has stopped granting in the group for good. */
  sealGrantor(claim: EpochClaim & { readonly grantor: AgentId }): Promise<
    boolean
  >;
  /** What a grantor of this agent left behind; null where none has stopped. */
  handover(question: {
    readonly group: string;
    readonly epoch: number;
  }): Promise<Handover | null>;
  /** Answered once the holder knows: when its renewal is answered or late. */
  hearsGrantor(
    question: { readonly group: string },
  ): Promise<GrantorReachability>;
  /** Which process answers at this address. */
  identify(question: Readonly<Record<never, never>>): Promise<AgentId>;
  /** Asks a holder to renew at once. */
  nudge(question: { readonly group: string }): Promise<null>;
  /** Null when the agent asked knows no newer table. */
  table(question: TableRequest): Promise<OwnershipTable | null>;
  /** Asks for the applied revisions of these addresses, or of all. */
  census(question: {
    readonly addresses: readonly Address[] | null;
  }): Promise<CensusReply>;
  events(question: {
    readonly after: number;
  }): Promise<readonly TimelineEvent[]>;
  /** Answered once the body may come, or not; never later than its time. */
  offerBody(question: BodyOfferRequest): Promise<BodyOfferReply>;
  /** Addresses of all agents that this one knows. */
  roster(question: Readonly<Record<never, never>>): Promise<
    readonly { readonly host: string; readonly address: Address }[]
  >;
}

/** The name of a call. */
export type PeerMethod = keyof PeerMethods;

/** The message of a call. */
export type PeerMessage<Method extends PeerMethod> = Parameters<
  PeerMethods[Method]
>[0];

/** The answer of a call. */
export type PeerAnswer<Method extends PeerMethod> = Awaited<
  ReturnType<PeerMethods[Method]>
>;

/** Calls to other agents. A call ends with its timeout at the latest. */
export interface Peers {
  call<Method extends PeerMethod>(
    address: Address,
    method: Method,
    options: {
      readonly message: PeerMessage<Method>;
      readonly timeoutMilliseconds: number;
    },
  ): Promise<Result<PeerAnswer<Method>, PeerFault>>;
  close(): Promise<void>;
}
