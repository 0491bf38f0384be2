/**
 * What callers may make an agent hold, derived from the limits of its machine.
 *
 * @module
 */
import type { CallerBounds } from "../adapters/callers/caller_load.ts";
import type { CollectionBounds } from "../core/load/collection.ts";

/** Limits of a machine. */
export interface MachineLimits {
  readonly memoryBytes: number;
  readonly maxDescriptors: number;
}

/**
 * The share of the machine's memory that is held for callers. The program itself
 * takes about half of the smallest machine, and what is no longer held takes
 * memory until it is collected.
 */
const heldMemoryShare = 0.1;
/** Reading stops at a connection that holds this share of it. */
const connectionShare = 0.1;
/** Descriptors of the machine that are not for this process's connections. */
const reservedDescriptors = 200;
/** The share of the others for callers; the rest is for agents and targets. */
const callerDescriptorShare = 0.5;

/** Bounds of what callers make a process on such a machine hold. */
export function callerBounds(
  { memoryBytes, maxDescriptors }: MachineLimits,
  maxUnreadMilliseconds: number,
): CallerBounds {
  const totalBytes = memoryBytes * heldMemoryShare;
  const descriptors = Math.max(
    reservedDescriptors,
    maxDescriptors - reservedDescriptors,
  );
  return {
    totalBytes,
    connectionBytes: totalBytes * connectionShare,
    maxConnections: Math.floor(descriptors * callerDescriptorShare),
    maxUnreadMilliseconds,
  };
}

/**
 * Answers that may wait on the links to other agents. Beyond it, no request is
 * started for which a further answer would wait.
 */
export function maxLinkBacklogBytes(
  { memoryBytes }: Pick<MachineLimits, "memoryBytes">,
): number {
  return memoryBytes * heldMemoryShare / 4;
}

/**
 * Answers that may be read from the target at a time. Beyond it, no request is
 * started; those that run already may still begin to answer.
 */
export function maxBytesInProgress(
  { memoryBytes }: Pick<MachineLimits, "memoryBytes">,
): number {
  return memoryBytes * heldMemoryShare / 2;
}

/** Garbage is collected when this share of the machine's memory is in use. */
const collectionShare = 0.7;

/** When garbage is collected besides the runtime's own collections. */
export function collectionBounds(
  { memoryBytes }: Pick<MachineLimits, "memoryBytes">,
): CollectionBounds {
  return {
    residentBytes: memoryBytes * collectionShare,
    passedBytes: memoryBytes * heldMemoryShare / 4,
    maxTimeShare: 1 / 3,
  };
}
