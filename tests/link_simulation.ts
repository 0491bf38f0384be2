/**
 * Simulates a link of 7 Mbit/s to one agent, over which many independent senders
 * offer large bodies at random times.
 *
 * @module
 */
import assert from "node:assert/strict";
import {
  type LinkCapacityEvent,
  type LinkCapacityState,
  stepLinkCapacity,
  unmeasuredLink,
} from "../source/core/bodies/link_capacity.ts";
import { seededRandom } from "../standins/load.ts";

/** Capacity of the link: 7 Mbit/s. */
export const linkBytesPerMillisecond = 875;
/** Time objective of a request, after which its answer is worth less. */
export const objectiveMilliseconds = 1_500;
/** Deadline of a request, after which its caller no longer waits. */
export const deadlineMilliseconds = 3_000;
/** Processing time at the target, which is part of the objective. */
const workMilliseconds = 300;
/** Mean size of a body before sizes are limited. */
export const meanBytes = 60_000;
const maxBytes = 360_000;
/** Standard deviation of the logarithm of the sizes. */
const sizeDeviation = 0.6;
/** One-way latencies between agents, in milliseconds. */
const defaultLatencies: readonly number[] = [0.2, 1.4, 12, 12];

/** Results of a simulation. */
export interface LinkSimulationResult {
  /** Bytes of bodies that arrived early enough to meet their objective. */
  readonly bytesInTime: number;
  readonly bytesOffered: number;
  /** For each refused body the time until its sender learned of it. */
  readonly refusedAfterMilliseconds: readonly number[];
  /** The longest time that a body had to wait for the link. */
  readonly maxQueueMilliseconds: number;
}

/** Draws a body size from a log-normal distribution. */
function bodyBytes(random: () => number): number {
  const normal = Math.sqrt(-2 * Math.log(1 - random())) *
    Math.cos(2 * Math.PI * random());
  return meanBytes * Math.exp(sizeDeviation * normal - sizeDeviation ** 2 / 2);
}

/** Simulates senders that offer bodies at random times over one link. */
export function simulateLink(options: {
  /** The offered load as a multiple of the link's capacity. */
  readonly load: (now: number) => number;
  readonly milliseconds: number;
  readonly seed: number;
  /** Equally likely one-way latencies in ms; defaults when left out. */
  readonly latencies?: readonly number[];
}): LinkSimulationResult {
  const { latencies = defaultLatencies } = options;
  const random = seededRandom(options.seed);
  const events = new Map<number, LinkCapacityEvent[]>();
  const sends = new Map<number, string[]>();
  const offers = new Map<
    string,
    { bytes: number; at: number; latency: number }
  >();
  const refusedAfterMilliseconds: number[] = [];
  let state: LinkCapacityState = unmeasuredLink;
  let linkFreeAt = 0;
  let bytesInTime = 0;
  let bytesOffered = 0;
  let maxQueueMilliseconds = 0;

  const schedule = <Item>(
    times: Map<number, Item[]>,
    time: number,
    item: Item,
  ) => {
    const due = Math.ceil(time);
    times.set(due, [...times.get(due) ?? [], item]);
  };

  function applyEvent(event: LinkCapacityEvent): void {
    const next = stepLinkCapacity(state, event);
    state = next.state;
    for (const effect of next.effects) {
      const offer = offers.get(effect.id);
      assert.ok(offer !== undefined);
      if (effect.kind === "come") {
        schedule(sends, event.now + 2 * offer.latency + 1, effect.id);
      } else {
        refusedAfterMilliseconds.push(event.now + offer.latency - offer.at);
      }
    }
  }

  for (let now = 1; now < options.milliseconds + 3_000; now += 1) {
    const mean = options.load(now) * linkBytesPerMillisecond / meanBytes;
    if (now < options.milliseconds && random() < mean) {
      const id = `r-${now}`;
      const bytes = Math.min(maxBytes, Math.ceil(bodyBytes(random)));
      const latency = latencies[Math.floor(random() * latencies.length)] ?? 0;
      offers.set(id, { bytes, at: now, latency });
      bytesOffered += bytes;
      schedule(events, now + latency + 1, {
        kind: "offered",
        offer: {
          id,
          bytes,
          objectiveAt: now + objectiveMilliseconds,
          deadlineAt: now + deadlineMilliseconds,
        },
        now: Math.ceil(now + latency + 1),
      });
    }
    for (const id of sends.get(now) ?? []) {
      const offer = offers.get(id);
      assert.ok(offer !== undefined);
      const queue = Math.max(0, linkFreeAt - now);
      maxQueueMilliseconds = Math.max(maxQueueMilliseconds, queue);
      linkFreeAt = now + queue + offer.bytes / linkBytesPerMillisecond;
      const end = Math.ceil(linkFreeAt);
      schedule(events, end, { kind: "arrived", id, now: end });
      if (end - offer.at + workMilliseconds <= objectiveMilliseconds) {
        bytesInTime += offer.bytes;
      }
    }
    for (const event of events.get(now) ?? []) applyEvent(event);
    if (now % 50 === 0) applyEvent({ kind: "tick", now });
  }
  assert.equal(state.waiting.length, 0);
  return {
    bytesInTime,
    bytesOffered,
    refusedAfterMilliseconds,
    maxQueueMilliseconds,
  };
}
