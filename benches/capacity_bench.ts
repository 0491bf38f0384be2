import type { Bench } from "./bench.ts";
/** Not written yet. */
export const benchCapacity: Bench = () => Promise.resolve(true);
