/**
 * How much work comes to a target, as a share of what it can run: a mean that
 * forgets within seconds.
 *
 * @module
 */

/** Work that came, in milliseconds of a slot, fading with time. */
export interface OfferedWork {
  readonly milliseconds: number;
  readonly at: number;
}

const fadeMilliseconds = 1_500;

/** Nothing has come yet. */
export const noOfferedWork: OfferedWork = { milliseconds: 0, at: 0 };

/** Adds one request's work. */
export function addOfferedWork(
  offered: OfferedWork,
  request: { readonly milliseconds: number; readonly now: number },
): OfferedWork {
  const left = faded(offered, request.now);
  return { milliseconds: left + request.milliseconds, at: request.now };
}

/** Work that comes over what so many slots can run; 1 in full use. */
export function offeredUse(
  offered: OfferedWork,
  view: { readonly slots: number; readonly now: number },
): number {
  return faded(offered, view.now) / fadeMilliseconds / view.slots;
}

function faded({ milliseconds, at }: OfferedWork, now: number): number {
  return milliseconds * Math.exp(-Math.max(0, now - at) / fadeMilliseconds);
}
