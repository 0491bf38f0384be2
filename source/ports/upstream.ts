/**
 * Requests as they pass through an agent, and the ports through which they are
 * sent to the local target or to another agent.
 *
 * @module
 */
import type { TargetLoad } from "../core/load/target_load.ts";
import type { Readable } from "node:stream";
import type { Result } from "true-myth";
import type { Address, AgentId } from "../core/agent.ts";
import type { FencingToken } from "../core/ownership/token.ts";
import type { Failure } from "../core/request/outcome.ts";

/** Header fields by lower-case name. */
export type Headers = Readonly<Record<string, string | readonly string[]>>;

/**
 * A request's body. A small body is buffered (`kept`), so that it can be sent
 * again; a large one is streamed and can be sent only once.
 */
export type Body =
  | { readonly kind: "kept"; readonly bytes: Uint8Array }
  | {
    readonly kind: "stream";
    readonly stream: Readable;
    /** Whether part of it has been read already. */
    readonly used: boolean;
    /** Sending fails once the body exceeds this size. */
    readonly maxBytes: number;
  };

/** A request in the form that all hops share. */
export interface ProxyRequest {
  /** Identifies the request on every hop and in every event. */
  readonly id: string;
  readonly method: string;
  readonly path: string;
  /** The host name that the caller sent the request to. */
  readonly authority: string;
  readonly headers: Headers;
  readonly service: string;
  readonly key: string | null;
  readonly rank: number;
  readonly idempotent: boolean;
  readonly longestBodyBytes: number;
  /** Maximum number of targets that the request reaches; null for no bound. */
  readonly maxAttempts: number | null;
  /**
   * The regions whose targets may run it, for the entry; empty or left out for
   * all. They don't travel on: the next agent finds them by its configuration.
   */
  readonly allowedRegions?: readonly string[];
  /** The caller's latency objective, on the monotonic clock; null for none. */
  readonly objectiveAt: number | null;
  /** The deadline on this process's monotonic clock, in milliseconds. */
  readonly deadlineAt: number;
  /** Aborted when the caller leaves. */
  readonly signal: AbortSignal;
  /** The agent that forwarded it; this one when left out. */
  readonly entry?: AgentId;
  /** The service that it comes from, as its entry states; may be left out. */
  readonly account?: string;
}

/** An answer's body: already read completely, or still being received. */
export type AnswerBody =
  | { readonly kind: "whole"; readonly bytes: Uint8Array }
  | { readonly kind: "stream"; readonly stream: Readable };

/** An answer of a target. */
export interface ProxyAnswer {
  readonly status: number;
  readonly headers: Headers;
  readonly body: AnswerBody;
  /** Requests running and waiting at the target; null when not reported. */
  readonly load: number | null;
  /**
   * How long work takes on the target's machine at this moment, 1 being usual;
   * null or left out when the target doesn't report it.
   */
  readonly slowness?: number | null;
  /**
   * The load that the local target reported with it; null or left out without a
   * report. Other agents are told `load` instead.
   */
  readonly reported?: TargetLoad | null;
}

/** A request to be sent to the local target. */
export interface TargetRequest {
  readonly request: ProxyRequest;
  readonly body: Body;
  /** The fencing token; null for a request without a key. */
  readonly token: FencingToken | null;
  /** The slice of the key; null for a request without a key. */
  readonly slice: number | null;
  /** The end of the lease on the wall clock; null without a key. */
  readonly leaseEndsAtWall: number | null;
}

/** Why the local target has given no answer. */
export interface TargetFailure extends Failure {
  /** Whether the target refused the request as meant for another one. */
  readonly misdirected?: boolean;
}

/** Port to the target next to the agent. */
export interface Target {
  send(request: TargetRequest): Promise<Result<ProxyAnswer, TargetFailure>>;
  /** The target's own health report; null when it does not answer. */
  health(): Promise<TargetHealth | null>;
  close(): Promise<void>;
}

/** A target's health report, which may be late or wrong. */
export interface TargetHealth {
  readonly phase: "serving" | "leaving";
}

/** Port that forwards requests to other agents. */
export interface Forwarder {
  forward(
    address: Address,
    request: ProxyRequest,
    options: {
      readonly body: Body;
      /** The process that is expected at the address. */
      readonly receiver: AgentId;
    },
  ): Promise<Result<ProxyAnswer, Failure>>;
  close(): Promise<void>;
}
