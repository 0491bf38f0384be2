/**
 * A configuration of one service without keys, for tests of a listener.
 *
 * @module
 */
import type { Configuration } from "../source/core/document/document.ts";

/** One rank and one service, with the routes `/SERVICE` and `/SERVICE/:part`. */
export function testConfiguration(options: {
  readonly service: string;
  /** Deadline of a request that states none. */
  readonly defaultDeadlineMilliseconds: number;
  /** The default deadline when left out. */
  readonly longestDeadlineMilliseconds?: number;
  readonly longestBodyBytes?: number;
}): Configuration {
  const {
    service,
    defaultDeadlineMilliseconds,
    longestDeadlineMilliseconds = defaultDeadlineMilliseconds,
    longestBodyBytes = 1_000,
  } = options;
  return {
    revision: 1,
    ranks: [{
      name: "usual",
      share: 0,
      defaultDeadlineMilliseconds,
    }],
    regions: [],
    hostRoutes: [],
    limits: null,
    services: [{
      name: service,
      routes: [`/${service}`, `/${service}/:part`],
      keys: null,
      defaultRank: "usual",
      longestDeadlineMilliseconds,
      queueLength: 10,
      longestBodyBytes,
      coldStart: null,
    }],
  };
}
