/**
 * Exit codes of the program.
 *
 * @module
 */

/** What a run came to. */
export const ExitCode = {
  success: 0,
  /** The document has faults, or is not in force everywhere. */
  faults: 1,
  usage: 2,
  unavailable: 3,
  conflict: 4,
} as const;
