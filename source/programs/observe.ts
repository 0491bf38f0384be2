/**
 * Metrics and events of the requests that enter at an agent.
 *
 * @module
 */
import type { Result } from "true-myth";
import type { HandleRequest } from "../adapters/callers/http_listener.ts";
import type { Configuration } from "../core/document/document.ts";
import type { Failure } from "../core/request/outcome.ts";
import type { Events } from "../ports/events.ts";
import type { Metrics } from "../ports/metrics.ts";
import type { ProxyAnswer, ProxyRequest } from "../ports/upstream.ts";
import { monotonicNow } from "../tasks/time.ts";

/**
 * Wraps a handler of requests: each request is counted and timed, and its entry
 * and its result are recorded as events. `rank` is the name of its rank, empty
 * if the configuration has no such rank.
 */
export function observeRequests(
  handle: HandleRequest,
  options: {
    readonly events: Events;
    readonly metrics: Metrics;
    readonly configuration: () => Configuration;
  },
): HandleRequest {
  const { events, metrics } = options;

  function recordEntry(request: ProxyRequest, rank: string): void {
    metrics.count("requests_entered", { rank });
    events.record("request-entered", {
      request: request.id,
      service: request.service,
      rank,
      ...(request.key === null ? {} : { key: request.key }),
    });
  }

  function recordResult(
    request: ProxyRequest,
    completed: {
      readonly rank: string;
      readonly result: Result<ProxyAnswer, Failure>;
    },
  ): void {
    const { rank, result } = completed;
    if (result.isOk) {
      const { status } = result.value;
      metrics.count("requests_answered", { rank });
      events.record("request-answered", { request: request.id, status });
      return;
    }
    const { outcome, reason } = result.error;
    const counter = outcome === "not-run"
      ? "requests_not_run"
      : "requests_unknown";
    metrics.count(counter, { rank, reason });
    events.record("request-failed", { request: request.id, outcome, reason });
  }

  return async (request, { body }) => {
    const startedAt = monotonicNow();
    const rank = options.configuration().ranks[request.rank]?.name ?? "";
    recordEntry(request, rank);
    const result = await handle(request, { body });
    metrics.time("request_duration", monotonicNow() - startedAt, { rank });
    recordResult(request, { rank, result });
    return result;
  };
}
