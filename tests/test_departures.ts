/**
 * Departures of a process on this host, for tests of what it sends.
 *
 * @module
 */
import {
  createDepartureStamper,
  type StampDeparture,
} from "../source/adapters/hops/transit.ts";
import { readClocks } from "../source/tasks/time.ts";

/** Starts the departures of a process with this name. */
export function testDepartures(process: string): StampDeparture {
  return createDepartureStamper({ process, clocks: readClocks });
}
