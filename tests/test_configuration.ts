/**
 * A configuration of one service without keys, for tests of a listener.
 *
 * @module
 */
import type { Configuration } from "../source/core/document/document.ts";

/** One rank and one service; requests to it are `/SERVICE` and below. */
export function testConfiguration(options: {
  readonly service: string;
  /** Of a request that states no deadline. */
  readonly defaultDeadlineMilliseconds: number;
  /** The usual one when left out. */
  readonly longestDeadlineMilliseconds?: number;
  readonly longestBodyBytes?: number;
}): Configuration {
  const {
    service,
    defaultDeadlineMilliseconds: usualDeadlineMilliseconds,
    longestDeadlineMilliseconds = usualDeadlineMilliseconds,
    longestBodyBytes = 1_000,
  } = options;
  return {
    revision: 1,
    ranks: [{
      name: "usual",
      share: 0,
      defaultDeadlineMilliseconds: usualDeadlineMilliseconds,
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
    }],
  };
}
