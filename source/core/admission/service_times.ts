/**
 * Mean service times for each kind of work, for ranks that mix short and long
 * requests at one target.
 *
 * With one mean for a whole rank, a short call looks as long as the long
 * requests that share its rank, and is refused although a slot is free.
 *
 * @module
 */

/** The recent service time of one kind of work. */
export interface ServiceTime {
  /** Moving average of the time in the target. */
  readonly milliseconds: number;
  /** When a request of this kind last ended. */
  readonly measuredAt: number;
}

/** Service times by kind, in the order of their last measurement. */
export type ServiceTimes = ReadonlyMap<string, ServiceTime>;

/** Above this number the kind with the oldest measurement is dropped. */
const maxKinds = 128;
const smoothingFactor = 0.1;

/** Adds a value to an exponential moving average; a mean of 0 has no values. */
export function updateMean(mean: number, measured: number): number {
  return mean === 0 ? measured : mean + (measured - mean) * smoothingFactor;
}

/** Records the service time of a request that has ended. */
export function recordServiceTime(
  times: ServiceTimes,
  ended: {
    readonly kind: string;
    readonly milliseconds: number;
    readonly now: number;
  },
): ServiceTimes {
  const { kind, now } = ended;
  const next = new Map(times);
  const mean = next.get(kind)?.milliseconds ?? 0;
  next.delete(kind);
  const milliseconds = updateMean(mean, ended.milliseconds);
  next.set(kind, { milliseconds, measuredAt: now });
  const [oldest] = next.keys();
  if (next.size > maxKinds && oldest !== undefined) next.delete(oldest);
  return next;
}
