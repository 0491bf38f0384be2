/**
 * What a process has used, by the operating system's account.
 *
 * @module
 */
import { readFileSync } from "node:fs";

/** Clock ticks in a second, as Linux states process times. */
const ticksPerSecond = 100;

/** Processor time of a process so far, in seconds. */
export function processorSeconds(pid: number): number {
  const text = readFileSync(`/proc/${pid}/stat`, "utf8");
  const fields = text.slice(text.lastIndexOf(")") + 2).split(" ");
  return (Number(fields[11]) + Number(fields[12])) / ticksPerSecond;
}

/** Resident memory of a process, in megabytes. */
export function residentMegabytes(pid: number): number {
  const text = readFileSync(`/proc/${pid}/status`, "utf8");
  return Number(/VmRSS:\s+(\d+)/.exec(text)?.[1] ?? 0) / 1_024;
}
