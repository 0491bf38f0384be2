/**
 * Reports stalls of the event loop with the resources used meanwhile, which
 * distinguish a busy process from one that received no processor time.
 *
 * @module
 */
import { monitorEventLoopDelay, PerformanceObserver } from "node:perf_hooks";
import process from "node:process";
import type { Events } from "../../ports/events.ts";

/** Shorter stalls are not reported. */
const minStallMilliseconds = 200;
const resolutionMilliseconds = 50;
const checkMilliseconds = 250;
const nanosecondsPerMillisecond = 1_000_000;
const microsecondsPerMillisecond = 1_000;

/** A running stall watch. */
export interface StallWatch {
  stop(): void;
}

/** Records an event for each stall of the event loop, with its likely causes. */
export function watchStalls(events: Events): StallWatch {
  const delays = monitorEventLoopDelay({ resolution: resolutionMilliseconds });
  let collectionMilliseconds = 0;
  const collections = new PerformanceObserver((list) => {
    for (const entry of list.getEntries()) {
      collectionMilliseconds += entry.duration;
    }
  });
  let usage = process.resourceUsage();
  let checkedAt = performance.now();

  function check(): void {
    const milliseconds = delays.max / nanosecondsPerMillisecond -
      resolutionMilliseconds;
    const before = usage;
    usage = process.resourceUsage();
    const now = performance.now();
    if (milliseconds >= minStallMilliseconds) {
      const processorMicroseconds = usage.userCPUTime + usage.systemCPUTime -
        before.userCPUTime - before.systemCPUTime;
      events.record("event-loop-stalled", {
        milliseconds: Math.round(milliseconds),
        collectionMilliseconds: Math.round(collectionMilliseconds),
        processorMilliseconds: Math.round(
          processorMicroseconds / microsecondsPerMillisecond,
        ),
        // Major page faults: pages that were read from disk.
        pageFaults: usage.majorPageFault - before.majorPageFault,
        // Involuntary context switches: other processes took the processor.
        displaced: usage.involuntaryContextSwitches -
          before.involuntaryContextSwitches,
        // The interval over which all values but the stall itself are counted.
        withinMilliseconds: Math.round(now - checkedAt),
      });
    }
    checkedAt = now;
    collectionMilliseconds = 0;
    delays.reset();
  }

  delays.enable();
  collections.observe({ entryTypes: ["gc"] });
  const timer = setInterval(check, checkMilliseconds);
  timer.unref();
  return {
    stop() {
      clearInterval(timer);
      delays.disable();
      collections.disconnect();
    },
  };
}
