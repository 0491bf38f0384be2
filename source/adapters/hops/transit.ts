/**
 * Departures as they travel, and what arrivals tell of each process.
 *
 * @module
 */
import type { Clocks } from "../../core/clocks.ts";
import {
  beginDepartureClock,
  type Departure,
  departureTime,
  type LeastDifference,
  noteArrival,
  stepDepartureClock,
} from "../../core/request/transit.ts";
import { decodeFieldText } from "../headers.ts";
import type { CopyFate } from "./hop_ledger.ts";

/** Says when a message leaves that is being written now. */
export type Depart = () => Departure;

/** Says for how many milliseconds a message that arrives now was held up. */
export type MeasureLateness = (departure: Departure | null) => number;

/** One request that has come from another agent, as logs tell it. */
export interface ArrivalNote {
  /** The id of the request. */
  readonly request: string;
  readonly from: string;
  /** Counts from 1. */
  readonly copy: number;
  readonly fate: CopyFate;
  /** For how long it was held up on its way. */
  readonly lateMilliseconds: number;
  /** Whether that has used up all of its time. */
  readonly expired: boolean;
}

/** Starts the clock of this process's departures. */
export function startDepartures(options: {
  /** Named like no other process, before or after. */
  readonly process: string;
  readonly clocks: () => Clocks;
}): Depart {
  let clock = beginDepartureClock(options.clocks());
  return () => {
    const now = options.clocks();
    clock = stepDepartureClock(clock, now);
    return {
      process: options.process,
      at: Math.round(departureTime(clock, now)),
    };
  };
}

/** Most processes remembered; the one heard least lately is forgotten. */
const mostProcesses = 16_384;

/** Starts without having heard anyone. */
export function startArrivals(now: () => number): MeasureLateness {
  const known = new Map<string, LeastDifference>();
  return (departure) => {
    if (departure === null) return 0;
    const { process, at } = departure;
    const arrival = noteArrival(known.get(process) ?? null, {
      departedAt: at,
      arrivedAt: now(),
    });
    known.delete(process);
    known.set(process, arrival.least);
    const [oldest] = known.keys();
    if (known.size > mostProcesses && oldest !== undefined) {
      known.delete(oldest);
    }
    return arrival.lateMilliseconds;
  };
}

/** Writes a departure as one header value. */
export function formatDeparture({ process, at }: Departure): string {
  return `${encodeURIComponent(process)} ${at}`;
}

/** Reads a departure; null when the text is none. */
export function parseDeparture(text: string | null): Departure | null {
  const match = /^(\S{1,200}) (\d{1,15})$/.exec(text ?? "");
  if (match === null) return null;
  const [, process = "", at = ""] = match;
  return { process: decodeFieldText(process), at: Number(at) };
}
