/**
 * A client for a target that speaks the product's own protocol, for tests.
 *
 * @module
 */
import { openTarget } from "../source/adapters/targets/http_target.ts";
import type { Address } from "../source/core/agent.ts";
import type { Target } from "../source/ports/upstream.ts";

/** Opens a client for this address that uses one connection at a time. */
export function openTestTarget(
  address: Address,
  overrides: Partial<Parameters<typeof openTarget>[0]> = {},
): Target {
  return openTarget({
    address,
    settings: {
      maxConnections: 1,
      connectTimeoutMilliseconds: 300,
      idleMilliseconds: 4_000,
    },
    now: () => performance.now(),
    healthTimeoutMilliseconds: 250,
    ...overrides,
  });
}
