/**
 * One copy of a request on its way to another agent, watched for signs that it
 * has come there.
 *
 * @module
 */
import type { Result } from "true-myth";
import type { Dispatcher } from "undici";
import type { SilenceDecision } from "../../core/request/silence.ts";
import type { Failure } from "../../core/request/outcome.ts";
import type { ProxyAnswer } from "../../ports/upstream.ts";
import { exchange, type ExchangeOptions } from "../targets/exchange.ts";

/** A copy of which nothing was heard; it stays open until it is let go. */
export interface Silenced {
  readonly follows: Exclude<SilenceDecision, "wait">;
  /** What comes of it all the same. */
  readonly answer: Promise<Result<ProxyAnswer, Failure>>;
  readonly letGo: () => void;
}

/** Brings the answer, a failure, or what follows from the copy's silence. */
export async function sendWatched(
  pool: Dispatcher,
  options: ExchangeOptions & {
    /** Null to wait in silence until the deadline. */
    readonly silence: SilenceRule | null;
  },
): Promise<Result<ProxyAnswer, Failure> | Silenced> {
  const { request, silence } = options;
  if (silence === null) return await exchange(pool, options);
  const watch = watchSilence(request.signal, silence);
  const answer = exchange(pool, { ...options, ...watch });
  void answer.then(watch.heard);
  const follows = await Promise.race([answer, watch.silent]);
  return typeof follows === "string"
    ? { follows, answer, letGo: watch.letGo }
    : follows;
}

/** How a copy is judged of which nothing is heard. */
export interface SilenceRule {
  readonly milliseconds: number;
  /** Its word no longer counts once the signal is aborted. */
  readonly judge: (signal: AbortSignal) => Promise<SilenceDecision>;
}

/** Judges one copy of a request whenever nothing at all is heard of it. */
function watchSilence(signal: AbortSignal, rule: SilenceRule) {
  const copy = new AbortController();
  const listening = new AbortController();
  let timer: ReturnType<typeof setTimeout> | null = null;
  let decide: (follows: Silenced["follows"]) => void = () => undefined;
  const silent = new Promise<Silenced["follows"]>((resolve) => {
    decide = resolve;
  });
  const letGo = () => copy.abort();
  signal.addEventListener("abort", letGo, { once: true });
  const heard = () => {
    if (timer !== null) clearTimeout(timer);
    listening.abort();
  };
  const wait = () => {
    timer = setTimeout(() => void judge(), rule.milliseconds);
  };
  async function judge(): Promise<void> {
    const judged = await rule.judge(listening.signal);
    if (listening.signal.aborted || signal.aborted) return;
    if (judged === "wait") wait();
    else decide(judged);
  }
  return { signal: copy.signal, started: wait, heard, silent, letGo };
}
