/**
 * Builds desired states for tests.
 *
 * @module
 */
import type { DesiredState } from "../source/core/routes/desired_state.ts";

/** A desired state without routes and services. */
export function testDesiredState(version: number): DesiredState {
  return {
    version,
    routes: [],
    services: [],
    limits: {
      headerBytes: 1,
      bodyBytes: 1,
      headerMilliseconds: 1,
      idleMilliseconds: 1,
    },
  };
}
