/**
 * Requests as they pass through an agent, and where they are sent on to.
 *
 * @module
 */
import type { Readable } from "node:stream";
import type { Result } from "true-myth";
import type { Address, AgentId } from "../core/agent.ts";
import type { FencingToken } from "../core/ownership/token.ts";
import type { Failure } from "../core/request/outcome.ts";

/** Header fields by lower-case name. */
export type Headers = Readonly<Record<string, string | readonly string[]>>;

/**
 * A request's body. A small one is kept, so that it can be sent again; a large
 * one passes through once.
 */
export type Body =
  | { readonly kind: "kept"; readonly bytes: Uint8Array }
  | {
    readonly kind: "stream";
    readonly stream: Readable;
    /** Whether part of it has been read already. */
    readonly used: boolean;
    /** More than this is not passed on. */
    readonly maxBytes: number;
  };

/** A request in the form that every hop shares. */
export interface ProxyRequest {
  /** Names the request on every hop and in every event. */
  readonly id: string;
  readonly method: string;
  readonly path: string;
  /** The host that the caller named. */
  readonly authority: string;
  readonly headers: Headers;
  readonly service: string;
  readonly key: string | null;
  readonly rank: number;
  readonly idempotent: boolean;
  readonly longestBodyBytes: number;
  /** Most targets that the request is sent to; null for no bound. */
  readonly mostAttempts: number | null;
  /** The end of its full worth, on the monotonic clock; null for none. */
  readonly objectiveAt: number | null;
  /** On this process's monotonic clock, in milliseconds. */
  readonly deadlineAt: number;
  /** Aborted when the caller leaves. */
  readonly signal: AbortSignal;
}

/** An answer's body: read whole already, or still to come. */
export type AnswerBody =
  | { readonly kind: "whole"; readonly bytes: Uint8Array }
  | { readonly kind: "stream"; readonly stream: Readable };

/** An answer of a target. */
export interface ProxyAnswer {
  readonly status: number;
  readonly headers: Headers;
  readonly body: AnswerBody;
  /** Requests running and waiting at the target, when its agent said. */
  readonly load: number | null;
}

/** A request on its way to a target. */
export interface TargetRequest {
  readonly request: ProxyRequest;
  readonly body: Body;
  /** Present for a request with a key. */
  readonly token: FencingToken | null;
  readonly slice: number | null;
  /** The end of the lease on the wall clock; null without a key. */
  readonly leaseEndsAtWall: number | null;
}

/** The target beside the agent. */
export interface Target {
  send(request: TargetRequest): Promise<Result<ProxyAnswer, Failure>>;
  /** What the target says of itself; null when it doesn't answer. */
  health(): Promise<TargetHealth | null>;
  close(): Promise<void>;
}

/** A target's report of itself, which may lag or mislead. */
export interface TargetHealth {
  readonly phase: "serving" | "leaving";
}

/** Other agents, as the next hop of a request. */
export interface Forwarder {
  forward(
    address: Address,
    request: ProxyRequest,
    options: {
      readonly body: Body;
      /** The process that is believed to be at the address. */
      readonly receiver: AgentId;
    },
  ): Promise<Result<ProxyAnswer, Failure>>;
  close(): Promise<void>;
}
