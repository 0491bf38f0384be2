/**
 * The offered load of a target relative to its capacity, as a sum that decays
 * exponentially within seconds.
 *
 * @module
 */

/** Work that has arrived, as time in a slot, decayed up to the time `at`. */
export interface OfferedWork {
  readonly milliseconds: number;
  readonly at: number;
}

const decayMilliseconds = 1_500;

/** Before any request has arrived. */
export const noOfferedWork: OfferedWork = { milliseconds: 0, at: 0 };

/** Adds the expected time of one request in a slot. */
export function addOfferedWork(
  offered: OfferedWork,
  request: { readonly milliseconds: number; readonly now: number },
): OfferedWork {
  const remaining = decayed(offered, request.now);
  return { milliseconds: remaining + request.milliseconds, at: request.now };
}

/** The same work in another measure. */
export function scaledOffered(
  offered: OfferedWork,
  factor: number,
): OfferedWork {
  return { ...offered, milliseconds: offered.milliseconds * factor };
}

/** Offered load over the capacity of so many slots; 1 when all are needed. */
export function offeredUtilization(
  offered: OfferedWork,
  view: { readonly slots: number; readonly now: number },
): number {
  return decayed(offered, view.now) / decayMilliseconds / view.slots;
}

function decayed({ milliseconds, at }: OfferedWork, now: number): number {
  return milliseconds * Math.exp(-Math.max(0, now - at) / decayMilliseconds);
}
