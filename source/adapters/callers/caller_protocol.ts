/**
 * How callers and agents talk to each other: reading a request, and writing a
 * failure and the header fields of an answer. The product's own dialect is
 * here; a platform brings another one.
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

/** A failure to be written. */
export interface FailedRequest {
  readonly failure: Failure;
  /** Empty when the request had none that could be read. */
  readonly id: string;
  /** What to tell the caller in plain words; may be empty. */
  readonly text: string;
}

/** An answer of the agent's own. */
export interface AgentAnswer {
  readonly status: number;
  readonly headers: Headers;
  readonly body: string;
}

/** What differs from one kind of caller to another. */
export interface CallerProtocol {
  readonly read: (
    message: IncomingMessage,
    options: ReadOptions,
  ) => Result<ProxyRequest, RefusedRequest>;
  readonly composeFailure: (failed: FailedRequest) => AgentAnswer;
  readonly answerHeaders: (answer: ProxyAnswer, id: string) => Headers;
}

/** The product's own dialect, which agents speak among themselves too. */
export const productCallerProtocol: CallerProtocol = {
  read: readCallerRequest,
  composeFailure,
  answerHeaders: (answer, id) => ({
    ...forwardableHeaders(answer.headers),
    [fields.outcome]: "answered",
    [fields.requestId]: id,
    ...(answer.load === null ? {} : { [fields.load]: String(answer.load) }),
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
