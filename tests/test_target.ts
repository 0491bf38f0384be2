/**
 * The way to a target by the product's own protocol, for tests of what comes
 * back from it.
 *
 * @module
 */
import { openTarget } from "../source/adapters/targets/http_target.ts";
import type { Address } from "../source/core/agent.ts";
import type { Target } from "../source/ports/upstream.ts";

/** Opens the target at this address, over one connection at a time. */
export function openTestTarget(address: Address): Target {
  return openTarget({
    address,
    settings: {
      maxConnections: 1,
      connectTimeoutMilliseconds: 300,
      idleMilliseconds: 4_000,
    },
    now: () => performance.now(),
    healthTimeoutMilliseconds: 250,
  });
}
