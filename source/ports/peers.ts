/**
 * The calls between agents: their messages, their answers and the port through
 * which an agent calls its peers.
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
import type { RecordedDeparture } from "../core/target/departures.ts";
import type { TimelineEvent } from "./events.ts";

/** Why a call to a peer failed. */
export interface PeerFault {
  readonly kind: "unreachable" | "timeout" | "rejected";
  readonly detail: string;
}

/** A gossip exchange: updates from one agent to another. */
export interface Exchange {
  readonly from: AgentId;
  /** Records that the sender passes on. */
  readonly news: readonly SharedRecord[];
  /** Digest of all records that the sender has. */
  readonly root: number;
  /** The revision of the configuration in force at the sender. */
  readonly revision: number;
}

/** The answer to a gossip exchange. */
export interface ExchangeReply {
  readonly id: AgentId;
  /** Records that the answering agent passes on. */
  readonly news: readonly SharedRecord[];
  /** Digest of the answering agent's records, the caller's updates included. */
  readonly root: number;
  /** The revision of the configuration in force at the answering agent. */
  readonly revision: number;
  /** Whether the answering agent considers its configuration fresh. */
  readonly fresh: boolean;
}

/** Sent when the root digests still differ after an exchange. */
export interface Comparison {
  /** Digests of the sender's buckets of records. */
  readonly digests: readonly number[];
}

/**
 * The answer to a comparison, with the record versions in the differing
 * buckets.
 */
export interface ComparisonReply {
  readonly digests: readonly number[];
  readonly versions: readonly RecordVersion[];
}

/** Records sent after a comparison, and the keys of the records requested. */
export interface Transfer {
  readonly offered: readonly SharedRecord[];
  readonly wanted: readonly string[];
}

/** The address and epoch of a group's grantor. */
export interface GrantorLocation {
  readonly address: Address;
  readonly epoch: number;
}

/**
 * How much the called agent does to locate a grantor: `own` reports whether it
 * grants itself, `known` also reports the grantor that it knows as a holder,
 * and `take-over` searches the store and takes the group over if nobody grants.
 */
export type LocateEffort = "own" | "known" | "take-over";

/** A request for the grantor of a group. */
export interface LocateRequest {
  readonly group: string;
  /**
   * The grantor that the caller could not reach, with the highest epoch that
   * the caller has accepted: only a grantor of a later epoch is of use to it.
   * Null when the caller knows no grantor.
   */
  readonly unreachable: GrantorLocation | null;
  readonly effort: LocateEffort;
}

/** The claim of a new grantor, as it is sent to a server of its group. */
export interface EpochClaim {
  readonly group: string;
  readonly epoch: number;
  readonly grantorAddress: Address;
}

/** Whether an agent reaches the grantor of its group. */
export interface GrantorReachability {
  /** The answering process. */
  readonly id: AgentId;
  /** The highest epoch that it has accepted; 0 outside the group. */
  readonly epoch: number;
  /** Whether the grantor of that epoch has answered it recently. */
  readonly hears: boolean;
}

/** A request for a group's ownership table. */
export interface TableRequest {
  readonly group: string;
  /** The version that the caller has; left out to get any version. */
  readonly known?: FencingToken | undefined;
}

/** The configuration revision that an agent applies. */
export interface AppliedRevision {
  readonly host: string;
  readonly revision: number;
  readonly fresh: boolean;
}

/** The configuration revisions of many agents. */
export interface CensusReply {
  readonly applied: readonly AppliedRevision[];
  /** Hosts that did not answer. */
  readonly missing: readonly string[];
}

/** The offer of a request body, sent before the body itself. */
export interface BodyOfferRequest {
  /** The id of the request. */
  readonly request: string;
  readonly service: string;
  readonly bytes: number;
  /** Time left until the objective; negative once it has passed. */
  readonly objectiveMilliseconds: number;
  /** Time left until the deadline. */
  readonly deadlineMilliseconds: number;
}

/** Whether the offered body may be sent to the called agent. */
export type BodyOfferReply =
  | { readonly kind: "come" }
  | {
    readonly kind: "refused";
    readonly reason: "queue-full" | "target-leaving";
    /** When to retry, in milliseconds from now; null when unknown. */
    readonly retryAfterMilliseconds: number | null;
  };

/** A request to lend saved retries of a service. */
export interface RetryLoanRequest {
  readonly service: string;
  readonly wanted: number;
}

/** How many retries are lent; they are the borrower's from then on. */
export interface RetryLoan {
  readonly granted: number;
}

/** Whether an agent that watches the store for others, or may have to, can. */
export interface WatchReport {
  readonly from: AgentId;
  readonly reachesStore: boolean;
}

/** The calls that each agent serves to its peers. */
export interface PeerMethods {
  exchange(message: Exchange): Promise<ExchangeReply>;
  compare(message: Comparison): Promise<ComparisonReply>;
  transfer(message: Transfer): Promise<readonly SharedRecord[]>;
  /** Renews a lease; null when the called agent is not the group's grantor. */
  renew(renewal: Renewal): Promise<RenewalAnswer | null>;
  /** Null when no grantor is found with the requested effort. */
  locateGrantor(question: LocateRequest): Promise<GrantorLocation | null>;
  /** Announces a new epoch; null when the server has accepted a later one. */
  takeEpoch(claim: EpochClaim): Promise<TakeoverAnswer | null>;
  /** Stops the named grantor; whether it has stopped for good. */
  sealGrantor(claim: EpochClaim & { readonly grantor: AgentId }): Promise<
    boolean
  >;
  /** State of a stopped grantor of this agent; null when none has stopped. */
  handover(question: {
    readonly group: string;
    readonly epoch: number;
  }): Promise<Handover | null>;
  /** Answered once the holder's renewal has been answered or is late. */
  hearsGrantor(
    question: { readonly group: string },
  ): Promise<GrantorReachability>;
  /** The id of the process at the called address. */
  identify(question: Readonly<Record<never, never>>): Promise<AgentId>;
  /** Asks a holder to renew at once. */
  nudge(question: { readonly group: string }): Promise<null>;
  /** Null when the called agent has no newer table. */
  table(question: TableRequest): Promise<OwnershipTable | null>;
  /** Tells an agent that watches the store if the reporting one can't. */
  reportWatch(report: WatchReport): Promise<null>;
  /** Keeps the departures of a host's targets for its next process. */
  storeDepartures(note: {
    readonly host: string;
    readonly departures: readonly RecordedDeparture[];
  }): Promise<null>;
  /** The departures that the called agent keeps for a host. */
  departuresOf(question: { readonly host: string }): Promise<
    readonly RecordedDeparture[]
  >;
  /** Applied revisions of the agents at these addresses; null for all. */
  census(question: {
    readonly addresses: readonly Address[] | null;
  }): Promise<CensusReply>;
  /** Events with a logical time later than `after`. */
  events(question: {
    readonly after: number;
  }): Promise<readonly TimelineEvent[]>;
  /**
   * Answered once the body is admitted or refused, no later than its deadline.
   */
  offerBody(question: BodyOfferRequest): Promise<BodyOfferReply>;
  /** Lends saved retries of a service to the caller. */
  lendRetries(question: RetryLoanRequest): Promise<RetryLoan>;
  /** Addresses of all agents that the called agent knows. */
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

/** Port for calls to other agents. A call ends no later than its timeout. */
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
