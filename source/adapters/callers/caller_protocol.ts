/**
 * The protocol between callers and agents: reading a request, and composing
 * failures and the header fields of answers. This module has the product's own
 * protocol; a platform can supply another one.
 *
 * @module
 */
import type { IncomingMessage } from "node:http";
import type { Result } from "true-myth";
import { type Failure, statusOf } from "../../core/request/outcome.ts";
import type {
  Headers,
  ProxyAnswer,
  ProxyRequest,
} from "../../ports/upstream.ts";
import { fields, forwardableHeaders } from "../headers.ts";
import {
  readCallerRequest,
  type ReadOptions,
  type RefusedRequest,
} from "./request_reader.ts";

/** A failure that is to be reported to the caller. */
export interface FailedRequest {
  readonly failure: Failure;
  /** Id of the request; empty when none could be read. */
  readonly id: string;
  /** Explanation for the caller; may be empty. */
  readonly text: string;
}

/** An answer that the agent composes itself. */
export interface AgentAnswer {
  readonly status: number;
  readonly headers: Headers;
  readonly body: string;
}

/** How requests of callers are read and answered. */
export interface CallerProtocol {
  readonly read: (
    message: IncomingMessage,
    options: ReadOptions,
  ) => Result<ProxyRequest, RefusedRequest>;
  /** Composes the answer to a failed request. */
  readonly composeFailure: (failed: FailedRequest) => AgentAnswer;
  /** Returns the header fields to write for the answer of a target. */
  readonly answerHeaders: (answer: ProxyAnswer, id: string) => Headers;
}

/** The product's own protocol, which is also used between agents. */
export const productCallerProtocol: CallerProtocol = {
  read: readCallerRequest,
  composeFailure,
  answerHeaders: (answer, id) => ({
    ...forwardableHeaders(answer.headers),
    [fields.outcome]: "answered",
    [fields.requestId]: id,
    ...(answer.load === null ? {} : { [fields.load]: String(answer.load) }),
    ...(typeof answer.slowness === "number"
      ? { [fields.slowness]: String(answer.slowness) }
      : {}),
  }),
};

function composeFailure({ failure, id, text }: FailedRequest): AgentAnswer {
  const status = statusOf(failure);
  const { retryAfterMilliseconds } = failure;
  const body = JSON.stringify({
    outcome: failure.outcome,
    reason: failure.reason,
    ...(text === "" ? {} : { message: text }),
  });
  return {
    status,
    headers: {
      "content-type": "application/json",
      [fields.outcome]: failure.outcome,
      [fields.reason]: failure.reason,
      ...(id === "" ? {} : { [fields.requestId]: id }),
      ...(status === 503 ? { "retry-after": "1" } : {}),
      ...(retryAfterMilliseconds === null ? {} : {
        [fields.retryAfter]: String(Math.ceil(retryAfterMilliseconds)),
      }),
    },
    body: body + "\n",
  };
}
