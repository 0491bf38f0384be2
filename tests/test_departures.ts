/**
 * Departures of a process on this host, for tests of what it sends.
 *
 * @module
 */
import {
  type Depart,
  startDepartures,
} from "../source/adapters/hops/transit.ts";
import { readClocks } from "../source/tasks/time.ts";

/** Starts the departures of a process with this name. */
export function testDepartures(process: string): Depart {
  return startDepartures({ process, clocks: readClocks });
}
