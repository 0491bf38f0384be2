/**
 * The task that follows how requests without a key end in the local target. It
 * owns what is known of that, decides which requests a failing target is given,
 * and says how many slots other agents are told.
 *
 * @module
 */
import type { Result } from "true-myth";
import type { Agent } from "../core/agent.ts";
import type { FailureReason } from "../core/request/outcome.ts";
import {
  describeHealth,
  healthChange,
} from "../core/target/observed_health.ts";
import {
  decideStart,
  type FailingTargetState,
  recordSent,
  recordTargetEnd,
  type TargetEnd,
  unknownTarget,
} from "../core/target/failing_target.ts";
import type { Events } from "../ports/events.ts";
import type {
  ProxyAnswer,
  ProxyRequest,
  Target,
  TargetFailure,
} from "../ports/upstream.ts";
import { openMailbox } from "./mailbox.ts";
import { monotonicNow } from "./time.ts";

/** The running task. */
export interface FailingTargetTask {
  /** Whether the target may be given a request; one with a key always may. */
  mayTry(request: ProxyRequest): boolean;
  /** The part of its slots that other agents are told. */
  share(): number;
  /** Observes the requests that are sent to the target. */
  observe(target: Target): Target;
  stop(): void;
}

/** Lowest HTTP status that counts as a failure of the target. */
const minFailureStatus = 500;

/** Reasons that show nothing of the target. */
const faultsOfCallers: ReadonlySet<FailureReason> = new Set([
  "caller-left",
  "body-too-large",
]);

type Message =
  | { readonly kind: "asked"; readonly reply: (starts: boolean) => void }
  | { readonly kind: "sent" }
  | { readonly kind: "ended"; readonly end: TargetEnd };

function endKind(
  result: Result<ProxyAnswer, TargetFailure>,
): TargetEnd["kind"] {
  if (result.isOk) {
    return result.value.status >= minFailureStatus ? "failed" : "answered";
  }
  const { outcome, reason } = result.error;
  if (reason === "target-unreachable") return "failed";
  if (outcome === "not-run" || faultsOfCallers.has(reason)) return "unknown";
  return reason === "deadline-passed" ? "timed-out" : "failed";
}

/** Starts with a target of which nothing is known. */
export function startFailingTarget(options: {
  /** The target's id and slots; null while it isn't known. */
  readonly target: () => { readonly id: string; readonly slots: number } | null;
  /** The other agents of the target's service. */
  readonly others: () => readonly Agent[];
  /** The kind of work of a request. */
  readonly workOf: (request: ProxyRequest) => string | null;
  readonly events: Events;
}): FailingTargetTask {
  let state: FailingTargetState = unknownTarget;

  const mailbox = openMailbox<Message>((message) => {
    switch (message.kind) {
      case "asked":
        return message.reply(decide());
      case "sent":
        state = recordSent(state);
        return;
      case "ended":
        return recordEnded(message.end);
    }
  });

  function decide(): boolean {
    // The others are looked up only while they matter.
    if (state.starts === null) return true;
    const decided = decideStart(state, {
      slots: options.target()?.slots ?? 1,
      otherSlots: options.others()
        .filter(({ phase }) => phase === "serving")
        .map(({ slots }) => slots),
      now: monotonicNow(),
    });
    state = decided.state;
    return decided.starts;
  }

  function recordEnded(end: TargetEnd): void {
    const former = state.health;
    state = recordTargetEnd(state, end);
    const change = healthChange(former, state.health);
    if (change === null) return;
    options.events.record(`target-${change}`, {
      target: options.target()?.id ?? "",
      seenBy: "agent",
      ...describeHealth(state.health),
      usualMilliseconds: Math.round(state.meanMilliseconds),
      publishedShare: Number(state.published.share.toFixed(3)),
      startsLimited: state.starts !== null,
    });
  }

  return {
    mayTry(request) {
      if (request.key !== null) return true;
      let starts = true;
      mailbox.send({ kind: "asked", reply: (decided) => starts = decided });
      return starts;
    },
    share: () => state.published.share,
    observe: (target) => ({
      health: () => target.health(),
      close: () => target.close(),
      async send(sent) {
        const { request } = sent;
        if (request.key !== null) return await target.send(sent);
        const startedAt = monotonicNow();
        mailbox.send({ kind: "sent" });
        const result = await target.send(sent);
        const now = monotonicNow();
        const end: TargetEnd = {
          work: options.workOf(request) ?? `rank ${request.rank}`,
          kind: endKind(result),
          milliseconds: now - startedAt,
          objectiveAt: request.objectiveAt ?? request.deadlineAt,
          now,
        };
        mailbox.send({ kind: "ended", end });
        return result;
      },
    }),
    stop: () => mailbox.close(),
  };
}
