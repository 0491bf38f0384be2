/**
 * A request as it passes through an agent, for tests of what becomes of it.
 *
 * @module
 */
import type { ProxyRequest } from "../source/ports/upstream.ts";

/** A small request without a key; `change` states what matters to the test. */
export function testRequest(
  change: Pick<ProxyRequest, "deadlineAt" | "signal"> & Partial<ProxyRequest>,
): ProxyRequest {
  return {
    id: "r-1",
    method: "GET",
    path: "/slots",
    authority: "studio.example",
    headers: {},
    service: "booking",
    key: null,
    rank: 0,
    idempotent: false,
    longestBodyBytes: 1_000,
    mostAttempts: null,
    objectiveAt: null,
    ...change,
  };
}
