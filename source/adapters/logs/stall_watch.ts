/**
 * Notices when this process stood still, and what it did meanwhile: nothing
 * else here can tell a busy process from one that got no processor.
 *
 * @module
 */
import { monitorEventLoopDelay, PerformanceObserver } from "node:perf_hooks";
import process from "node:process";
import type { Events } from "../../ports/events.ts";

/** Shorter delays are not told, in milliseconds. */
const noticeMilliseconds = 200;
const resolutionMilliseconds = 50;
const checkMilliseconds = 250;
const nanosecondsPerMillisecond = 1_000_000;
const microsecondsPerMillisecond = 1_000;

/** A watch that runs. */
export interface StallWatch {
  stop(): void;
}

/** Tells of each delay of the event loop, with what took the time. */
export function watchStalls(events: Events): StallWatch {
  const delays = monitorEventLoopDelay({ resolution: resolutionMilliseconds });
  let collectionMilliseconds = 0;
  const collections = new PerformanceObserver((list) => {
    for (const entry of list.getEntries()) {
      collectionMilliseconds += entry.duration;
    }
  });
  let used = process.resourceUsage();
  let checkedAt = performance.now();

  function check(): void {
    const milliseconds = delays.max / nanosecondsPerMillisecond -
      resolutionMilliseconds;
    const before = used;
    used = process.resourceUsage();
    const now = performance.now();
    if (milliseconds >= noticeMilliseconds) {
      const processor = used.userCPUTime + used.systemCPUTime -
        before.userCPUTime - before.systemCPUTime;
      events.record("event-loop-stalled", {
        milliseconds: Math.round(milliseconds),
        collectionMilliseconds: Math.round(collectionMilliseconds),
        processorMilliseconds: Math.round(
          processor / microsecondsPerMillisecond,
        ),
        // Pages that had to be read from a disk or swapped in.
        pageFaults: used.majorPageFault - before.majorPageFault,
        // Times that other processes took the processor.
        displaced: used.involuntaryContextSwitches -
          before.involuntaryContextSwitches,
        // All but the delay itself are counted over this time.
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
