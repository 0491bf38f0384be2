/**
 * The task that keeps a holder's lease renewed: it follows the group's grantor,
 * sends it one renewal at a time, and looks for a successor while an answer is
 * late.
 *
 * @module
 */
import type { Address } from "../core/agent.ts";
import type { Clocks } from "../core/clocks.ts";
import type { Renewal, RenewalAnswer } from "../core/ownership/renewal.ts";
import type { Events } from "../ports/events.ts";
import type { GrantorLocation, Peers } from "../ports/peers.ts";
import { locateGrantor } from "./locate_grantor.ts";
import { aborted, monotonicNow, pause, readClocks } from "./time.ts";

/** Durations of renewals, in milliseconds. */
export interface RenewalTimes {
  readonly renewalMilliseconds: number;
  readonly retryMilliseconds: number;
  readonly callTimeoutMilliseconds: number;
}

/** A renewal to be sent. */
export interface OutgoingRenewal {
  readonly message: Renewal;
  /** Called with an answer of the accepted epoch or a later one. */
  readonly onAnswer: (answered: {
    readonly answer: RenewalAnswer;
    readonly askedAt: Clocks;
  }) => void;
}

/** The running task. */
export interface RenewalTask {
  /** Renews with this grantor from now on; it has just been heard. */
  follow(location: GrantorLocation): void;
  /** The grantor that is followed; null while none is known. */
  grantor(): GrantorLocation | null;
  /** Whether the grantor answers; renews first unless it has just answered. */
  hearsGrantor(): Promise<boolean>;
  /** Renews at once. */
  nudge(): void;
  stop(): Promise<void>;
}

/**
 * Random share of the renewal interval, so that servers don't renew at once.
 */
const renewalJitter = 0.2;
/** Time after which an unanswered renewal is late, in call timeouts. */
const lateRenewalCalls = 2;
/** Timeout of a renewal, in call timeouts. */
const renewalTimeoutCalls = 4;

/** Starts to renew, once a grantor has been located. */
export function startRenewals(options: {
  readonly group: string;
  readonly times: RenewalTimes;
  readonly peers: Peers;
  readonly events: Events;
  /** Returns a number from 0 up to but not including 1. */
  readonly random: () => number;
  /** Agents to ask for the grantor, in this order. */
  readonly candidates: () => {
    readonly members: readonly Address[];
    readonly grantors: readonly Address[];
  };
  /** The highest epoch that the holder has accepted. */
  readonly epoch: () => number;
  readonly compose: () => OutgoingRenewal;
  /** Called after each renewal, whether it was answered or not. */
  readonly onRenewalEnded: () => void;
}): RenewalTask {
  const { group, times, peers, events } = options;
  const stopped = new AbortController();
  let grantor: GrantorLocation | null = null;
  /** The last unreachable grantor, until a grantor has answered. */
  let unreachable: GrantorLocation | null = null;
  /** How often in a row no grantor was located. */
  let locateFailures = 0;
  /** Consecutive failed renewals. */
  let failures = 0;
  /** Whether the grantor's answer to a renewal is late. */
  let grantorLate = false;
  /** Ends the wait for a renewal when another grantor is followed. */
  let superseded = new AbortController();
  /** When a grantor was last heard from, on the monotonic clock. */
  let lastAnswerAt = -Infinity;
  /** Called with the result of the current renewal or else of the next one. */
  const listeners = new Set<(hears: boolean) => void>();
  let wake = new AbortController();

  function nudge(): void {
    wake.abort();
  }

  function notifyListeners(hears: boolean): void {
    for (const listener of listeners) listener(hears);
    listeners.clear();
  }

  function changeGrantor(location: GrantorLocation): void {
    grantor = location;
    failures = 0;
    grantorLate = false;
    superseded.abort();
  }

  /** Sends one renewal; an answer that arrives after the signal is ignored. */
  async function renewOnce(
    location: GrantorLocation,
    signal: AbortSignal,
  ): Promise<boolean> {
    const askedAt = readClocks();
    const { message, onAnswer } = options.compose();
    const result = await peers.call(location.address, "renew", {
      message,
      timeoutMilliseconds: times.callTimeoutMilliseconds * renewalTimeoutCalls,
    });
    if (signal.aborted || result.isErr || result.value === null) return false;
    if (result.value.epoch < options.epoch()) return false;
    onAnswer({ answer: result.value, askedAt });
    return true;
  }

  async function locate(): Promise<GrantorLocation | null> {
    // Grantors of epochs before the accepted one no longer grant here.
    unreachable &&= {
      ...unreachable,
      epoch: Math.max(unreachable.epoch, options.epoch()),
    };
    const located = await locateGrantor({
      group,
      unreachable,
      failures: locateFailures,
      ...options.candidates(),
      peers,
      events,
      timeoutMilliseconds: times.callTimeoutMilliseconds * 2,
    });
    locateFailures = located === null ? locateFailures + 1 : 0;
    return located;
  }

  /**
   * Sends one renewal. While its answer is late, looks for a successor of the
   * grantor; a late answer still renews the lease.
   */
  async function renewOrLocateSuccessor(
    asked: GrantorLocation,
  ): Promise<boolean> {
    superseded = new AbortController();
    const askedAt = monotonicNow();
    const signal = superseded.signal;
    const renewal = renewOnce(asked, signal);
    const doubt = times.callTimeoutMilliseconds * lateRenewalCalls;
    const ended = await Promise.race([
      renewal.then(() => true),
      pause(doubt, signal).then(() => false),
    ]);
    if (!ended && !signal.aborted) {
      grantorLate = true;
      notifyListeners(false);
      void locateSuccessor(asked, signal);
    }
    const renewed = await Promise.race([
      renewal,
      aborted(signal).then(() => false),
    ]);
    recordRenewal(asked, {
      renewed,
      replaced: signal.aborted,
      milliseconds: Math.round(monotonicNow() - askedAt),
    });
    superseded.abort();
    return renewed;
  }

  /** Reports a renewal that was answered late or not at all. */
  function recordRenewal(
    asked: GrantorLocation,
    end: {
      readonly renewed: boolean;
      readonly replaced: boolean;
      readonly milliseconds: number;
    },
  ): void {
    const usual = times.callTimeoutMilliseconds * lateRenewalCalls;
    if (end.renewed && end.milliseconds < usual) return;
    events.record(end.renewed ? "renewal-late" : "renewal-failed", {
      group,
      epoch: asked.epoch,
      grantor: asked.address,
      milliseconds: end.milliseconds,
      ...(end.renewed ? {} : { replaced: end.replaced }),
    });
  }

  async function locateSuccessor(
    asked: GrantorLocation,
    signal: AbortSignal,
  ): Promise<void> {
    unreachable = asked;
    const found = await locate();
    if (found === null || signal.aborted || stopped.signal.aborted) return;
    if (found.epoch > asked.epoch && grantor === asked) changeGrantor(found);
  }

  /** One renewal; returns the time until the next, in milliseconds. */
  async function renewalRound(): Promise<number> {
    grantor ??= await locate();
    if (grantor === null) return times.retryMilliseconds;
    const asked = grantor;
    const renewed = await renewOrLocateSuccessor(asked);
    options.onRenewalEnded();
    // Another grantor is followed now; the next renewal goes to it at once.
    if (!renewed && grantor !== asked) return 0;
    notifyListeners(renewed);
    return renewed ? afterRenewal() : afterFailure(asked);
  }

  function afterRenewal(): number {
    failures = 0;
    grantorLate = false;
    lastAnswerAt = monotonicNow();
    unreachable = null;
    return times.renewalMilliseconds * (1 - renewalJitter * options.random());
  }

  function afterFailure(asked: GrantorLocation): number {
    failures += 1;
    if (failures >= 2) {
      unreachable = asked;
      grantor = null;
    }
    return failures <= 2 ? 0 : times.retryMilliseconds;
  }

  async function run(): Promise<void> {
    while (!stopped.signal.aborted) {
      wake = new AbortController();
      const rest = await renewalRound();
      await pause(rest, wake.signal);
    }
  }
  const running = run();

  return {
    follow(location) {
      changeGrantor(location);
      lastAnswerAt = monotonicNow();
      notifyListeners(true);
    },
    grantor: () => grantor,
    async hearsGrantor() {
      const silent =
        monotonicNow() - lastAnswerAt >= times.callTimeoutMilliseconds;
      const hears = grantor !== null && !grantorLate;
      if (!hears || !silent) return hears;
      nudge();
      return await new Promise((resolve) => listeners.add(resolve));
    },
    nudge,
    async stop() {
      stopped.abort();
      wake.abort();
      superseded.abort();
      notifyListeners(false);
      await running;
    },
  };
}
