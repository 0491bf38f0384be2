/**
 * Pages for operators on the peer listener: health, readiness, metrics
 * and the agent's state.
 *
 * @module
 */
import type { OperatorPage } from "../adapters/callers/http_listener.ts";
import type { MetricsRegistry } from "../adapters/logs/metrics.ts";

/** The agent's state as `/-/state` shows it, by name. */
export interface AgentDescription {
  readonly [name: string]: string | number | boolean;
}

/**
 * Creates the pages, by path. `/-/ready` answers 503 while `ready` returns
 * false; `describe` returns what `/-/state` shows.
 */
export function operatorPages(options: {
  readonly metrics: MetricsRegistry;
  readonly ready: () => boolean;
  readonly describe: () => AgentDescription;
}): ReadonlyMap<string, OperatorPage> {
  const text = "text/plain; charset=utf-8";
  return new Map<string, OperatorPage>([
    [
      "/-/health",
      () =>
        Promise.resolve({ status: 200, contentType: text, text: "healthy\n" }),
    ],
    ["/-/ready", () => {
      const ready = options.ready();
      return Promise.resolve({
        status: ready ? 200 : 503,
        contentType: text,
        text: ready ? "ready\n" : "not ready\n",
      });
    }],
    ["/-/metrics", async () => ({
      status: 200,
      contentType: "text/plain; version=0.0.4; charset=utf-8",
      text: await options.metrics.expose(),
    })],
    ["/-/state", () =>
      Promise.resolve({
        status: 200,
        contentType: "application/json",
        text: JSON.stringify(options.describe(), null, 2) + "\n",
      })],
  ]);
}
