/**
 * The task that brings the operators' document into force: a few agents of each
 * data centre watch the store, validate changes and publish what is accepted.
 *
 * @module
 */
import { recordsOfAcceptance } from "../core/document/assembly.ts";
import {
  type Acceptance,
  emptyAcceptance,
  evaluateDocument,
  type ParsedDocument,
} from "../core/document/document.ts";
import type { SharedRecord } from "../core/dissemination/replica.ts";
import type { Events } from "../ports/events.ts";
import type { CensusReply } from "../ports/peers.ts";
import { mainObjectName, type Store } from "../ports/store.ts";
import { trackStoreAvailability } from "./store_availability.ts";
import { pause } from "./time.ts";

/** Durations of the watch, in milliseconds. */
export interface DocumentTimes {
  readonly watchMilliseconds: number;
  readonly storeRetryMilliseconds: number;
  /** Longest time for which censuses are repeated after an acceptance. */
  readonly censusMilliseconds: number;
}

/** The running watch. */
export interface DocumentTask {
  stop(): Promise<void>;
}

/**
 * Delay of the first census; most agents have the revision by then. It doubles.
 */
const firstCensusMilliseconds = 1_000;

/** Starts a task that watches while this agent is one of the watchers. */
export function startDocument(options: {
  readonly store: Store;
  readonly times: DocumentTimes;
  readonly events: Events;
  readonly read: (text: string) => ParsedDocument;
  readonly watches: () => boolean;
  readonly publish: (records: readonly SharedRecord[]) => void;
  /** Called each time the store has confirmed the accepted revision. */
  readonly onConfirmed: () => void;
  readonly census: () => Promise<CensusReply>;
  /** Peer addresses that starting agents should contact first. */
  readonly seeds: () => readonly string[];
}): DocumentTask {
  const { store, times, events } = options;
  const stopped = new AbortController();
  const recordAvailability = trackStoreAvailability(events);

  /**
   * Validates a changed document and publishes what is accepted; false when the
   * store could not be read or written.
   */
  async function processDocument(): Promise<boolean> {
    const [document, acceptance] = await Promise.all([
      store.documents.read(mainObjectName),
      store.acceptances.read(mainObjectName),
    ]);
    if (document.isErr || acceptance.isErr) return false;
    const current = acceptance.value?.value ?? emptyAcceptance;
    const pending = document.value !== null &&
      document.value.version !== current.judgedVersion;
    if (!pending || document.value === null) {
      publishAcceptance(current);
      return true;
    }
    const next = evaluateDocument(
      current,
      options.read(document.value.value.text),
      document.value.version,
    );
    const written = await store.acceptances.write(mainObjectName, next, {
      version: acceptance.value?.version ?? null,
    });
    if (written.isErr) {
      if (written.error.kind === "conflict") return await processDocument();
      return false;
    }
    report(current, next);
    publishAcceptance(next);
    void reportStatus(next.revision);
    return true;
  }

  function report(current: Acceptance, next: Acceptance): void {
    if (next.revision !== current.revision) {
      events.record("revision-accepted", { revision: next.revision });
    }
    for (const fault of next.refusals) {
      events.record("section-refused", {
        section: fault.section,
        line: fault.line,
        reason: fault.reason,
      });
    }
  }

  function publishAcceptance(acceptance: Acceptance): void {
    options.publish(recordsOfAcceptance(acceptance));
    options.onConfirmed();
  }

  /**
   * Writes to the store, for operators' tools, which agents apply a revision.
   */
  async function reportStatus(revision: number): Promise<void> {
    const end = performance.now() + times.censusMilliseconds;
    let delayMilliseconds = firstCensusMilliseconds;
    await pause(delayMilliseconds, stopped.signal);
    let result = await options.census();
    while (
      !isAppliedEverywhere(result, revision) &&
      performance.now() + delayMilliseconds < end
    ) {
      if (stopped.signal.aborted) return;
      delayMilliseconds *= 2;
      await pause(delayMilliseconds, stopped.signal);
      result = await options.census();
    }
    const former = await store.statuses.read(mainObjectName);
    if (former.isErr) return;
    if ((former.value?.value.revision ?? 0) > revision) return;
    await store.statuses.write(mainObjectName, statusOf(result, revision), {
      version: former.value?.version ?? null,
    });
  }

  /**
   * Keeps the seed addresses in the store up to date. A failed write is made up
   * for by the next call.
   */
  async function maintainSeeds(): Promise<void> {
    const addresses = options.seeds();
    const stored = await store.seeds.read(mainObjectName);
    if (stored.isErr) return;
    const known = stored.value?.value.addresses ?? [];
    if (known.join() === addresses.join()) return;
    await store.seeds.write(mainObjectName, { addresses }, {
      version: stored.value?.version ?? null,
    });
  }

  async function run(): Promise<void> {
    while (!stopped.signal.aborted) {
      if (!options.watches()) {
        await pause(times.storeRetryMilliseconds, stopped.signal);
        continue;
      }
      const seen = await processDocument();
      if (seen) await maintainSeeds();
      const changed = seen
        ? await store.awaitChange({
          maxWaitMilliseconds: times.watchMilliseconds,
        })
        : null;
      const reachable = changed !== null && changed.isOk;
      recordAvailability(reachable);
      if (!reachable) {
        await pause(times.storeRetryMilliseconds, stopped.signal);
      }
    }
  }
  const running = run();

  return {
    async stop() {
      stopped.abort();
      await Promise.race([running, pause(100)]);
    },
  };
}

function isAppliedEverywhere(result: CensusReply, revision: number): boolean {
  return result.missing.length === 0 &&
    result.applied.every((applied) => applied.revision >= revision);
}

function statusOf(result: CensusReply, revision: number) {
  const behind = result.applied.filter((applied) =>
    applied.revision < revision
  );
  const missing = [
    ...result.missing,
    ...behind.map((applied) => applied.host),
  ];
  return {
    revision,
    inForce: result.applied.length - behind.length,
    agents: result.applied.length + result.missing.length,
    missing,
  };
}
