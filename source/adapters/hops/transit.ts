/**
 * Departure stamps on forwarded requests: how a process makes them, how they
 * are written as a header, and how a receiver measures transit delays by them.
 *
 * @module
 */
import type { Clocks } from "../../core/clocks.ts";
import {
  createDepartureClock,
  type Departure,
  departureTime,
  type MinDifference,
  recordArrival,
  stepDepartureClock,
} from "../../core/request/transit_delay.ts";
import { decodeFieldText } from "../headers.ts";
import type { CopyFate } from "./hop_deduplication.ts";

/** Returns the departure stamp of a message that is being written now. */
export type StampDeparture = () => Departure;

/**
 * Returns for how many milliseconds a message that arrives now was delayed in
 * transit; 0 for a message without a departure stamp.
 */
export type MeasureTransitDelay = (departure: Departure | null) => number;

/** A copy of a request that has arrived from another agent, as it is logged. */
export interface ArrivalReport {
  /** The id of the request. */
  readonly request: string;
  /** The sender that the copy names. */
  readonly from: string;
  /** The number of the copy, from 1. */
  readonly copy: number;
  readonly fate: CopyFate;
  /** The transit delay. */
  readonly lateMilliseconds: number;
  /** Whether the request's deadline had passed on arrival. */
  readonly expired: boolean;
}

/** Creates the function that stamps the departures of this process. */
export function createDepartureStamper(options: {
  /** The name of this process; no other process ever has the same. */
  readonly process: string;
  readonly clocks: () => Clocks;
}): StampDeparture {
  let clock = createDepartureClock(options.clocks());
  return () => {
    const now = options.clocks();
    clock = stepDepartureClock(clock, now);
    return {
      process: options.process,
      at: Math.round(departureTime(clock, now)),
    };
  };
}

/** Beyond this number the least recently seen process is forgotten. */
const maxProcesses = 16_384;

/**
 * Creates the function that measures transit delays. The first message of each
 * process has a delay of 0, and later ones are compared with its quickest.
 */
export function createTransitDelayMeter(
  now: () => number,
): MeasureTransitDelay {
  const quickest = new Map<string, MinDifference>();
  return (departure) => {
    if (departure === null) return 0;
    const { process, at } = departure;
    const arrival = recordArrival(quickest.get(process) ?? null, {
      departedAt: at,
      arrivedAt: now(),
    });
    quickest.delete(process);
    quickest.set(process, arrival.minDifference);
    const [oldest] = quickest.keys();
    if (quickest.size > maxProcesses && oldest !== undefined) {
      quickest.delete(oldest);
    }
    return arrival.delayMilliseconds;
  };
}

/** Formats a departure stamp as a header value. */
export function formatDeparture({ process, at }: Departure): string {
  return `${encodeURIComponent(process)} ${at}`;
}

/** Parses a header value; null when it is no departure stamp. */
export function parseDeparture(text: string | null): Departure | null {
  const match = /^(\S{1,200}) (\d{1,15})$/.exec(text ?? "");
  if (match === null) return null;
  const [, process = "", at = ""] = match;
  return { process: decodeFieldText(process), at: Number(at) };
}
