/**
 * The adapters of an agent on the platform: the common ones, the links to other
 * agents, and the store.
 *
 * @module
 */
import type { PlatformSettings } from "../../platform/settings.ts";
import { openPlatformStore } from "../../platform/store.ts";
import { startAnswersInProgress } from "../adapters/answers_in_progress.ts";
import { openCollector } from "../adapters/garbage.ts";
import { linkSenderOf } from "../adapters/hops/hop_deduplication.ts";
import { openHopLinks } from "../adapters/hops/hop_links.ts";
import type { LogLevel } from "../adapters/logs/log.ts";
import { startStoreEra } from "../tasks/store_era_task.ts";
import { monotonicNow } from "../tasks/time.ts";
import { collectionBounds } from "./caller_policy.ts";
import { openCommonAdapters, reportSilence } from "./common_adapters.ts";
import { connections, links } from "./platform_policy.ts";

interface AdapterOptions {
  readonly id: string;
  readonly logLevel: LogLevel;
  readonly writeLog: (line: string) => void;
}

/** Opens the common adapters, the links to other agents and the store. */
export function openPlatformAdapters(
  settings: PlatformSettings,
  options: AdapterOptions,
) {
  const common = openCommonAdapters({ ...options, connections });
  const storeEra = startStoreEra(common);
  const store = openPlatformStore({
    address: settings.store,
    ...common,
    onEra: storeEra.handleAnswer,
  });
  const forwarder = openHopLinks({
    settings: links,
    now: monotonicNow,
    clock: common.clock,
    sender: linkSenderOf(options.id),
    depart: common.stampDeparture,
    onSilence: reportSilence(common.events),
    largeBodyForwarder: common.forwarder,
  });
  return {
    ...common,
    forwarder,
    store,
    storeEra,
    countPassedBytes: openCollector(collectionBounds(settings)),
    linkBacklog: trackLinkBacklog(),
    answersInProgress: startAnswersInProgress(),
  };
}

/** Bytes of answers that wait on the links to other agents. */
interface LinkBacklog {
  bytes(): number;
  /** Follows a listener for other agents; until then nothing waits. */
  follow(backlogBytes: () => number): void;
}

function trackLinkBacklog(): LinkBacklog {
  let backlogBytes = () => 0;
  return {
    bytes: () => backlogBytes(),
    follow(next) {
      backlogBytes = next;
    },
  };
}

/** The adapters of an agent on the platform. */
export type PlatformAdapters = ReturnType<typeof openPlatformAdapters>;
