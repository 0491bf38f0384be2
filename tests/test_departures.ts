/**
 * Departure stamps for tests that send messages between agents.
 *
 * @module
 */
import {
  type Depart,
  startDepartures,
} from "../source/adapters/hops/transit.ts";
import { readClocks } from "../source/tasks/time.ts";

/** Creates the departure stamps of a process with this name. */
export function testDepartures(process: string): Depart {
  return startDepartures({ process, clocks: readClocks });
}
