import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, it } from "node:test";
import type { EventDetail, EventKind } from "../../ports/events.ts";
import { type StallWatch, watchStalls } from "./stall_watch.ts";

const stallMilliseconds = 400;

function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

/** Simulates a computation that takes too long. */
function blockEventLoop(milliseconds: number): void {
  const end = performance.now() + milliseconds;
  while (performance.now() < end);
}

// Guards against agents that stop answering for a while without any record.
describe("a stall watch", () => {
  let recorded: { readonly kind: EventKind; readonly detail: EventDetail }[];
  let watch: StallWatch;

  beforeEach(async () => {
    recorded = [];
    watch = watchStalls({
      record: (kind, detail = {}) => recorded.push({ kind, detail }),
    });
    // Ignores stalls that happened during the start.
    await sleep(600);
    recorded.length = 0;
  });
  afterEach(() => watch.stop());

  it("records the duration of a stall and the processor time used", async () => {
    blockEventLoop(stallMilliseconds);
    await sleep(600);
    const [first] = recorded;
    assert.equal(first?.kind, "event-loop-stalled");
    const milliseconds = Number(first?.detail["milliseconds"]);
    assert.ok(milliseconds >= stallMilliseconds / 2);
    assert.ok(Number(first?.detail["processorMilliseconds"]) > 0);
  });

  it("records nothing while the process is idle", async () => {
    await sleep(600);
    assert.deepEqual(recorded, []);
  });
});
