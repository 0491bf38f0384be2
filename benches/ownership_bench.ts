import type { Bench } from "./bench.ts";
/** Not written yet. */
export const benchOwnership: Bench = () => Promise.resolve(true);
