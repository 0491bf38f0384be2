/**
 * A simulated link of 7 Mbit/s to one agent, over which many senders that know
 * nothing of each other offer large bodies at random.
 *
 * @module
 */
import assert from "node:assert/strict";
import {
  type LinkRoomEvent,
  type LinkRoomState,
  stepLinkRoom,
  unknownLink,
} from "../source/core/bodies/link_room.ts";
import { seededRandom } from "../standins/load.ts";

/** 7 Mbit/s. */
export const linkBytesPerMillisecond = 875;
/** The time within which an answer has its full worth. */
export const objectiveMilliseconds = 1_500;
/** After that nobody waits for an answer. */
export const deadlineMilliseconds = 3_000;
/** What work at the target takes of the objective. */
const workMilliseconds = 300;
/** Of one body. */
export const meanBytes = 60_000;
const mostBytes = 360_000;
const spread = 0.6;
/** One way between agents, in milliseconds. */
const usualLatencies: readonly number[] = [0.2, 1.4, 12, 12];

/** What became of the bodies. */
export interface LinkSimulationResult {
  /** Bytes of bodies that arrived early enough to be answered in time. */
  readonly bytesInTime: number;
  readonly bytesOffered: number;
  /** How long each refused sender waited for its answer. */
  readonly refusedAfterMilliseconds: readonly number[];
  /** The longest time for which a packet waited on the link. */
  readonly maxQueueMilliseconds: number;
}

/** Sizes vary around their mean, now and then by much. */
function bodyBytes(random: () => number): number {
  const normal = Math.sqrt(-2 * Math.log(1 - random())) *
    Math.cos(2 * Math.PI * random());
  return meanBytes * Math.exp(spread * normal - spread ** 2 / 2);
}

/** Many senders that offer bodies at random over one link. */
export function simulateLink(options: {
  /** What is offered, as a multiple of what the link carries. */
  readonly load: (now: number) => number;
  readonly milliseconds: number;
  readonly seed: number;
  /** One way between agents, each as likely; the usual when left out. */
  readonly latencies?: readonly number[];
}): LinkSimulationResult {
  const { latencies = usualLatencies } = options;
  const random = seededRandom(options.seed);
  const events = new Map<number, LinkRoomEvent[]>();
  const sent = new Map<number, string[]>();
  const offers = new Map<string, { bytes: number; at: number; lag: number }>();
  const refusedAfter: number[] = [];
  let state: LinkRoomState = unknownLink;
  let linkFreeAt = 0;
  let bytesInTime = 0;
  let bytesOffered = 0;
  let longestQueueMilliseconds = 0;

  const at = <Item>(times: Map<number, Item[]>, time: number, item: Item) => {
    const due = Math.ceil(time);
    times.set(due, [...times.get(due) ?? [], item]);
  };

  function feed(event: LinkRoomEvent): void {
    const next = stepLinkRoom(state, event);
    state = next.state;
    for (const effect of next.effects) {
      const offer = offers.get(effect.id);
      assert.ok(offer !== undefined);
      if (effect.kind === "come") {
        at(sent, event.now + 2 * offer.lag + 1, effect.id);
      } else {
        refusedAfter.push(event.now + offer.lag - offer.at);
      }
    }
  }

  for (let now = 1; now < options.milliseconds + 3_000; now += 1) {
    const mean = options.load(now) * linkBytesPerMillisecond / meanBytes;
    if (now < options.milliseconds && random() < mean) {
      const id = `r-${now}`;
      const bytes = Math.min(mostBytes, Math.ceil(bodyBytes(random)));
      const lag = latencies[Math.floor(random() * latencies.length)] ?? 0;
      offers.set(id, { bytes, at: now, lag });
      bytesOffered += bytes;
      at(events, now + lag + 1, {
        kind: "offered",
        offer: {
          id,
          bytes,
          objectiveAt: now + objectiveMilliseconds,
          deadlineAt: now + deadlineMilliseconds,
        },
        now: Math.ceil(now + lag + 1),
      });
    }
    for (const id of sent.get(now) ?? []) {
      const offer = offers.get(id);
      assert.ok(offer !== undefined);
      const queue = Math.max(0, linkFreeAt - now);
      longestQueueMilliseconds = Math.max(longestQueueMilliseconds, queue);
      linkFreeAt = now + queue + offer.bytes / linkBytesPerMillisecond;
      const end = Math.ceil(linkFreeAt);
      at(events, end, { kind: "arrived", id, now: end });
      if (end - offer.at + workMilliseconds <= objectiveMilliseconds) {
        bytesInTime += offer.bytes;
      }
    }
    for (const event of events.get(now) ?? []) feed(event);
    if (now % 50 === 0) feed({ kind: "tick", now });
  }
  assert.equal(state.waiting.length, 0);
  return {
    bytesInTime,
    bytesOffered,
    refusedAfterMilliseconds: refusedAfter,
    maxQueueMilliseconds: longestQueueMilliseconds,
  };
}
