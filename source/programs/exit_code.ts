/**
 * Exit codes of the program.
 *
 * @module
 */

/** Exit code by cause. */
export const ExitCode = {
  success: 0,
  /** The document has faults, or is not in force everywhere. */
  faults: 1,
  /** Wrong flags, settings or files. */
  usage: 2,
  /** A store, agent or address can't be reached or used. */
  unavailable: 3,
  /** Another operator edited the same sections. */
  conflict: 4,
} as const;
