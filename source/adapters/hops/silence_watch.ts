/**
 * Sends one copy of a request to another agent over HTTP, and asks for a
 * decision whenever nothing has been received for the copy for too long.
 *
 * @module
 */
import type { Result } from "true-myth";
import type { Dispatcher } from "undici";
import type { SilenceDecision } from "../../core/request/silence.ts";
import type { Failure } from "../../core/request/outcome.ts";
import type { ProxyAnswer } from "../../ports/upstream.ts";
import { exchange, type ExchangeOptions } from "../targets/exchange.ts";

/**
 * A copy for which nothing was received. It stays open until it is aborted or
 * the request itself ends.
 */
export interface SilentCopy {
  readonly follows: Exclude<SilenceDecision, "wait">;
  /** Settles when the copy is answered or fails after all. */
  readonly answer: Promise<Result<ProxyAnswer, Failure>>;
  readonly abort: () => void;
}

/**
 * Sends a copy. Resolves with the answer, with a failure, or with the silent
 * copy once the rule has decided otherwise than to wait.
 */
export async function sendWithSilenceWatch(
  pool: Dispatcher,
  options: ExchangeOptions & {
    /** Null to wait until the deadline whatever is received. */
    readonly silence: SilenceRule | null;
  },
): Promise<Result<ProxyAnswer, Failure> | SilentCopy> {
  const { request, silence } = options;
  if (silence === null) return await exchange(pool, options);
  const watch = watchSilence(request.signal, silence);
  const answer = exchange(pool, { ...options, ...watch });
  void answer.then(watch.heard);
  const first = await Promise.race([answer, watch.silent]);
  return typeof first === "string"
    ? { follows: first, answer, abort: watch.abort }
    : first;
}

/** When a copy is silent, and what is done about it. */
export interface SilenceRule {
  /** A copy is silent when nothing is received for it for this long. */
  readonly milliseconds: number;
  /** The decision is ignored once the signal is aborted. */
  readonly decide: (signal: AbortSignal) => Promise<SilenceDecision>;
}

/**
 * Watches one copy from when it begins to be written until anything is received
 * for it. Asks the rule for a decision after each silence.
 */
function watchSilence(signal: AbortSignal, rule: SilenceRule) {
  const copy = new AbortController();
  const watching = new AbortController();
  let timer: ReturnType<typeof setTimeout> | null = null;
  let resolveSilent: (follows: SilentCopy["follows"]) => void = () => undefined;
  const silent = new Promise<SilentCopy["follows"]>((resolve) => {
    resolveSilent = resolve;
  });
  const abort = () => copy.abort();
  signal.addEventListener("abort", abort, { once: true });
  const heard = () => {
    if (timer !== null) clearTimeout(timer);
    watching.abort();
  };
  const wait = () => {
    timer = setTimeout(() => void decide(), rule.milliseconds);
  };
  async function decide(): Promise<void> {
    const decision = await rule.decide(watching.signal);
    if (watching.signal.aborted || signal.aborted) return;
    if (decision === "wait") wait();
    else resolveSilent(decision);
  }
  return { signal: copy.signal, started: wait, heard, silent, abort };
}
