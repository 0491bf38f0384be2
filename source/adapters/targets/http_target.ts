/**
 * Sends requests to the target on the same machine by the product's own
 * protocol.
 *
 * @module
 */
import { Result } from "true-myth";
import type { Pool } from "undici";
import type { Address } from "../../core/agent.ts";
import { formatToken } from "../../core/ownership/token.ts";
import { type Failure, notRun } from "../../core/request/outcome.ts";
import type {
  Headers,
  ProxyAnswer,
  Target,
  TargetHealth,
} from "../../ports/upstream.ts";
import { type ConnectionSettings, openPool } from "./connection_pool.ts";
import { drain, exchange } from "./exchange.ts";
import { failureFromHeaders, fields } from "../headers.ts";
import { openTargetConnections } from "./target_connections.ts";
import { exchangeWhole } from "./whole_exchange.ts";

/** Opens a client of the target, which opens connections on demand. */
export function openTarget(options: {
  readonly address: Address;
  readonly settings: ConnectionSettings;
  readonly now: () => number;
  readonly healthTimeoutMilliseconds: number;
  /** Called when an answer is invalid and not passed on, with the reason. */
  readonly onInvalidAnswer?: (request: string, fault: string) => void;
}): Target {
  const connections = openTargetConnections(options.address, options.settings);
  // Health checks must not wait for connections that long requests occupy.
  const healthChecks = openPool(options.address, {
    ...options.settings,
    maxConnections: healthCheckConnections,
  });
  return {
    async send({ request, body, token, slice, leaseEndsAtWall }) {
      const remaining = Math.floor(request.deadlineAt - options.now());
      if (remaining <= 0) return Result.err(notRun("deadline-passed"));
      const headers = {
        ...request.headers,
        [fields.requestId]: request.id,
        [fields.deadline]: String(remaining),
        ...(token === null ? {} : {
          [fields.token]: formatToken(token),
          [fields.slice]: String(slice),
          [fields.leaseEnd]: String(Math.floor(leaseEndsAtWall ?? 0)),
        }),
      };
      const { now } = options;
      const faultOfAnswer = (received: Headers) => {
        const fault = faultOfRefusal(received, request.id);
        if (fault !== null) options.onInvalidAnswer?.(request.id, fault);
        return fault;
      };
      const result = await exchange(connections.select(request.id), {
        request,
        headers,
        body,
        now,
        faultOfAnswer,
      });
      if (result.isErr) return result;
      if (statesNotRun(result.value.headers)) {
        connections.recordRefusal(request.id);
      }
      return readTargetAnswer(result.value);
    },
    health: () => checkHealth(healthChecks, options.healthTimeoutMilliseconds),
    async close() {
      await Promise.all([connections.close(), healthChecks.close()]);
    },
  };
}

/** Whether the outcome field states that the request did not run. */
function statesNotRun(headers: Headers): boolean {
  return failureFromHeaders(headers)?.outcome === "not-run";
}

/**
 * Why a refusal does not prove that the request with this id did not run; null
 * if it does, and for other answers. A target may send an earlier refusal again
 * on a connection that is kept open.
 */
function faultOfRefusal(headers: Headers, id: string): string | null {
  if (!statesNotRun(headers)) return null;
  const refused = headers[fields.refusedRequest];
  if (refused === undefined) return "the refusal has no request id";
  return refused === id ? null : "the refusal has the id of another request";
}

/** Returns a failure if the target states that the request did not run. */
function readTargetAnswer(answer: ProxyAnswer): Result<ProxyAnswer, Failure> {
  if (!statesNotRun(answer.headers)) return Result.ok(answer);
  if (answer.body.kind === "stream") drain(answer.body.stream);
  return Result.err(notRun("target-refused"));
}

/** Health checks run one at a time. */
const healthCheckConnections = 1;
/** A health report is short. */
const maxHealthBytes = 65_536;

async function checkHealth(
  pool: Pool,
  timeoutMilliseconds: number,
): Promise<TargetHealth | null> {
  try {
    const answer = await exchangeWhole(pool, {
      method: "GET",
      path: "/health",
      headers: {},
      body: null,
      signal: AbortSignal.timeout(timeoutMilliseconds),
      maxAnswerBytes: maxHealthBytes,
    });
    const phase = answer.status === 200 ? "serving" : "leaving";
    return { phase };
  } catch {
    return null;
  }
}
