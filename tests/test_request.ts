/**
 * Builds requests as an agent handles them, for tests.
 *
 * @module
 */
import type { ProxyRequest } from "../source/ports/upstream.ts";

/** A small request without a key; `overrides` replaces fields. */
export function testRequest(
  overrides:
    & Pick<ProxyRequest, "deadlineAt" | "signal">
    & Partial<ProxyRequest>,
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
    maxAttempts: null,
    objectiveAt: null,
    ...overrides,
  };
}
