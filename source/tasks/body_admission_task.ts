/**
 * The task that owns the capacity of the link to this agent: it admits or
 * refuses large bodies that other agents offer for the local target.
 *
 * @module
 */
import { finished } from "node:stream";
import {
  type LinkCapacityEffect,
  type LinkCapacityEvent,
  stepLinkCapacity,
  unmeasuredLink,
} from "../core/bodies/link_capacity.ts";
import type { Events } from "../ports/events.ts";
import type { BodyOfferReply, BodyOfferRequest } from "../ports/peers.ts";
import type { Body } from "../ports/upstream.ts";
import { openMailbox } from "./mailbox.ts";
import { monotonicNow } from "./time.ts";

/** The running task. */
export interface BodyAdmissionTask {
  /** Waits for capacity; resolves before the sender's call times out. */
  offer(question: BodyOfferRequest): Promise<BodyOfferReply>;
  /** Must be called for each request that arrives, with its body. */
  recordArrival(request: { readonly id: string }, body: Body): void;
  /** Refuses all waiting offers. */
  stop(): void;
}

/** Starts with no knowledge of the link's capacity. */
export function startBodyAdmission(options: {
  readonly service: string;
  /** Whether the target accepts new requests, with a key or without. */
  readonly accepts: (work: { readonly keyed: boolean }) => boolean;
  readonly events: Events;
  readonly tickMilliseconds: number;
}): BodyAdmissionTask {
  let state = unmeasuredLink;
  const settles = new Map<string, (reply: BodyOfferReply) => void>();
  let timer: ReturnType<typeof setTimeout> | null = null;

  const mailbox = openMailbox<LinkCapacityEvent>((event) => {
    const next = stepLinkCapacity(state, event);
    state = next.state;
    for (const effect of next.effects) perform(effect);
    tickWhileWaiting();
  });

  function perform(effect: LinkCapacityEffect): void {
    const settle = settles.get(effect.id);
    settles.delete(effect.id);
    if (effect.kind === "come") return settle?.({ kind: "come" });
    const { retryAfterMilliseconds } = effect;
    options.events.record("request-refused", {
      request: effect.id,
      reason: "queue-full",
      bodiesComing: state.admitted.size,
      bodiesWaiting: state.waiting.length,
      bytesPerSecond: Math.round(state.bytesPerSecond ?? 0),
      retryAfterMilliseconds: Math.round(retryAfterMilliseconds),
    });
    settle?.(refusal("queue-full", retryAfterMilliseconds));
  }

  /** Ticks only while offers wait, so that an idle agent has no timer. */
  function tickWhileWaiting(): void {
    if (timer !== null || state.waiting.length === 0) return;
    timer = setTimeout(() => {
      timer = null;
      mailbox.send({ kind: "tick", now: monotonicNow() });
    }, options.tickMilliseconds);
  }

  function arrived(id: string): void {
    mailbox.send({ kind: "arrived", id, now: monotonicNow() });
  }

  return {
    offer({ request: id, service, bytes, ...left }) {
      if (service !== options.service || !options.accepts({ keyed: false })) {
        return Promise.resolve(refusal("target-leaving", null));
      }
      if (settles.has(id)) return Promise.resolve(refusal("queue-full", null));
      const now = monotonicNow();
      const objectiveAt = now + left.objectiveMilliseconds;
      const deadlineAt = now + left.deadlineMilliseconds;
      return new Promise((resolve) => {
        settles.set(id, resolve);
        const offer = { id, bytes, objectiveAt, deadlineAt };
        mailbox.send({ kind: "offered", offer, now });
      });
    },
    recordArrival({ id }, body) {
      if (!state.admitted.has(id)) return;
      if (body.kind === "kept") return arrived(id);
      finished(body.stream, { writable: false }, () => arrived(id));
    },
    stop() {
      if (timer !== null) clearTimeout(timer);
      mailbox.close();
      for (const settle of settles.values()) {
        settle(refusal("target-leaving", null));
      }
      settles.clear();
    },
  };
}

function refusal(
  reason: "queue-full" | "target-leaving",
  retryAfterMilliseconds: number | null,
): BodyOfferReply {
  return { kind: "refused", reason, retryAfterMilliseconds };
}
