/**
 * Sets of numbered keys, as lists of disjoint spans.
 *
 * @module
 */

/** Keys from `first` to `last`, both inclusive. */
export interface KeySpan {
  readonly first: number;
  readonly last: number;
}

/** Whether two spans have a key in common. */
export function overlaps(left: KeySpan, right: KeySpan): boolean {
  return left.first <= right.last && left.last >= right.first;
}

/** Whether `outer` has all keys of `inner`. */
export function includesSpan(outer: KeySpan, inner: KeySpan): boolean {
  return outer.first <= inner.first && outer.last >= inner.last;
}

/** The number of keys of the spans. */
export function countKeys(spans: readonly KeySpan[]): number {
  return spans.reduce((sum, { first, last }) => sum + last - first + 1, 0);
}

/** The parts of `spans` that are in none of `removed`. */
export function withoutSpans<Span extends KeySpan>(
  spans: readonly Span[],
  removed: readonly KeySpan[],
): readonly Span[] {
  return spans.flatMap((span) => {
    const cuts = removed.filter((other) => overlaps(span, other));
    return cuts.reduce<readonly Span[]>(cutOut, [span]);
  });
}

function cutOut<Span extends KeySpan>(
  spans: readonly Span[],
  cut: KeySpan,
): readonly Span[] {
  return spans.flatMap((span) => {
    if (!overlaps(span, cut)) return [span];
    const before = { ...span, last: Math.min(span.last, cut.first - 1) };
    const after = { ...span, first: Math.max(span.first, cut.last + 1) };
    return [before, after].filter(({ first, last }) => first <= last);
  });
}

/** The parts of `spans` that are in one of `kept`, which must be disjoint. */
export function withinSpans<Span extends KeySpan>(
  spans: readonly Span[],
  kept: readonly KeySpan[],
): readonly Span[] {
  return spans.flatMap((span) =>
    kept.filter((other) => overlaps(span, other)).map((other) => ({
      ...span,
      first: Math.max(span.first, other.first),
      last: Math.min(span.last, other.last),
    }))
  );
}

/** Whether each key of `spans` is in one of `kept`. */
export function areWithin(
  spans: readonly KeySpan[],
  kept: readonly KeySpan[],
): boolean {
  return spans.every((span) =>
    kept.some((other) => includesSpan(other, span)) ||
    withoutSpans([span], kept).length === 0
  );
}

/** Sorts the spans and merges adjacent ones for which `merge` returns one. */
export function mergeAdjacent<Span extends KeySpan>(
  spans: readonly Span[],
  merge: (left: Span, right: Span) => Span | null,
): readonly Span[] {
  const merged: Span[] = [];
  for (
    const span of spans.toSorted((left, right) => left.first - right.first)
  ) {
    const previous = merged.at(-1);
    const adjacent = previous !== undefined && previous.last + 1 === span.first;
    const joined = adjacent ? merge(previous, span) : null;
    if (joined === null) merged.push(span);
    else merged[merged.length - 1] = joined;
  }
  return merged;
}

/** Formats spans for a log line, at most `maxSpans` of them. */
export function formatSpans(
  spans: readonly KeySpan[],
  maxSpans: number,
): string {
  const texts = spans.slice(0, maxSpans)
    .map(({ first, last }) => `${first}-${last}`);
  return spans.length > maxSpans
    ? [...texts, "..."].join(",")
    : texts.join(",");
}
