import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, it } from "node:test";
import type { EventDetail, EventKind } from "../../ports/events.ts";
import { type StallWatch, watchStalls } from "./stall_watch.ts";

const stallMilliseconds = 400;

function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

/** Stands for a computation that takes too long. */
function keepBusy(milliseconds: number): void {
  const end = performance.now() + milliseconds;
  while (performance.now() < end);
}

// Guards against agents that answer nothing for a while and leave no trace.
describe("a process that is watched", () => {
  let told: { readonly kind: EventKind; readonly detail: EventDetail }[];
  let watch: StallWatch;

  beforeEach(async () => {
    told = [];
    watch = watchStalls({
      record: (kind, detail = {}) => told.push({ kind, detail }),
    });
    // What happened while it was started does not count.
    await sleep(600);
    told.length = 0;
  });
  afterEach(() => watch.stop());

  it("tells how long it stood still, and that it was busy", async () => {
    keepBusy(stallMilliseconds);
    await sleep(600);
    const [first] = told;
    assert.equal(first?.kind, "event-loop-stalled");
    const milliseconds = Number(first?.detail["milliseconds"]);
    assert.ok(milliseconds >= stallMilliseconds / 2);
    assert.ok(Number(first?.detail["processorMilliseconds"]) > 0);
  });

  it("tells nothing while it only waits", async () => {
    await sleep(600);
    assert.deepEqual(told, []);
  });
});
