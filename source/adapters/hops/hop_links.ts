/**
 * Forwards requests to other agents over links: WebSockets that carry many
 * requests at a time. Requests with large bodies go to another forwarder, so
 * that they delay no other request on the link.
 *
 * @module
 */
import { Result } from "true-myth";
import { type Address, isAddress } from "../../core/agent.ts";
import { notRun } from "../../core/request/outcome.ts";
import type { Forwarder } from "../../ports/upstream.ts";
import { useEntry } from "../recently_used.ts";
import { createHopSequence } from "./hop_deduplication.ts";
import {
  type Link,
  type LinkOptions,
  linkPath,
  type LinkSettings,
  openLink,
} from "./hop_link.ts";

export { linkPath };

/** Settings of the links to all agents. */
export interface HopLinkSettings extends LinkSettings {
  readonly maxLinksPerAgent: number;
  /**
   * Another link to an agent is opened when this many requests wait on each of
   * its links. Not a bound: with the maximum of links, more may wait on each.
   */
  readonly requestsPerLink: number;
  /** Larger bodies, and streams, go to the forwarder for large bodies. */
  readonly longestBodyBytes: number;
}

/** What a forwarder over links needs. */
export interface HopLinksOptions
  extends Omit<LinkOptions, "settings" | "numbers" | "onClose"> {
  readonly settings: HopLinkSettings;
  readonly largeBodyForwarder: Forwarder;
}

/**
 * Agents with open links; beyond this number the links to the least recently
 * used agent are closed.
 */
const maxAgents = 256;

/**
 * Creates a forwarder over links, which are opened as requests need them.
 * Failures, also of the links themselves, are returned as errors.
 */
export function openHopLinks(options: HopLinksOptions): Forwarder {
  const { settings } = options;
  const agents = new Map<Address, Set<Link>>();
  const numbers = createHopSequence();

  function selectLink(address: Address): Link {
    const links = linksOf(address);
    let best: Link | null = null;
    for (const link of links) {
      if (best === null || link.waiting() < best.waiting()) best = link;
    }
    const full = best !== null &&
      best.waiting() >= settings.requestsPerLink;
    if (best !== null && (!full || links.size >= settings.maxLinksPerAgent)) {
      return best;
    }
    const link = openLink(address, {
      ...options,
      numbers,
      onClose: () => links.delete(link),
    });
    links.add(link);
    return link;
  }

  function linksOf(address: Address): Set<Link> {
    return useEntry(agents, address, {
      max: maxAgents,
      create: () => new Set<Link>(),
      evict(links) {
        for (const link of links) link.close();
      },
    });
  }

  return {
    async forward(address, request, { body, receiver }) {
      if (!isAddress(address)) return Result.err(notRun("target-unreachable"));
      const large = body.kind === "stream" ||
        body.bytes.length > settings.longestBodyBytes;
      if (large) {
        return await options.largeBodyForwarder.forward(address, request, {
          body,
          receiver,
        });
      }
      const sequence = numbers.allocate();
      const result = await selectLink(address).send({
        sequence,
        receiver,
        request,
        bytes: body.bytes,
      });
      numbers.settle(sequence);
      return result;
    },
    async close() {
      for (const links of agents.values()) {
        for (const link of links) link.close();
      }
      await options.largeBodyForwarder.close();
    },
  };
}
