/**
 * What every bench shares: figures, ratios against a baseline of the same
 * run, and bounds that come from the target.
 *
 * @module
 */
import process from "node:process";

/** Prints a line. */
export function show(line: string): void {
  process.stdout.write(line + "\n");
}

/** A bound that a bench has to keep. */
export interface Bound {
  readonly name: string;
  readonly value: number;
  readonly least?: number;
  readonly most?: number;
}

/** Prints bounds with their verdicts; brings whether all are kept. */
export function checkBounds(bounds: readonly Bound[]): boolean {
  const verdicts = bounds.map((bound) => {
    const { name, value, least = -Infinity, most = Infinity } = bound;
    const kept = value >= least && value <= most;
    const limits = [
      least === -Infinity ? "" : `at least ${least}`,
      most === Infinity ? "" : `at most ${most}`,
    ].filter((text) => text !== "").join(", ");
    show(
      `${kept ? "kept  " : "MISSED"} ${name}: ${round(value)} (${limits})`,
    );
    return kept;
  });
  return verdicts.every((kept) => kept);
}

/** Three significant digits. */
export function round(value: number): string {
  return Number.isInteger(value) ? String(value) : value.toPrecision(3);
}

/** Waits on the real clock. */
export function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

/** One bench: prints its figures, and brings whether its bounds are kept. */
export type Bench = () => Promise<boolean>;
