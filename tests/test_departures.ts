/**
 * Departure stamps for tests that send messages between agents.
 *
 * @module
 */
import {
  createDepartureStamper,
  type StampDeparture,
} from "../source/adapters/hops/transit.ts";
import { readClocks } from "../source/tasks/time.ts";

/** Creates the departure stamps of a process with this name. */
export function testDepartures(process: string): StampDeparture {
  return createDepartureStamper({ process, clocks: readClocks });
}
