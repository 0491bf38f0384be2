/**
 * Reads KNOWN-RED.txt, the list of tests with known, unfixed faults. A listed
 * test may fail, but only with the failure that the list names.
 *
 * @module
 */

/** One entry of the list. */
export interface KnownFailure {
  /** The test's whole path: its suites and its name, joined by ` > `. */
  readonly test: string;
  /** A substring of the failure message. */
  readonly failure: string;
}

/** A test that failed. */
export interface FailedTest {
  readonly path: readonly string[];
  readonly message: string;
}

/** Parses the entries: a line `test: ...`, then a line `failure: ...`. */
export function parseKnownFailures(text: string): readonly KnownFailure[] {
  const entries: KnownFailure[] = [];
  let test: string | null = null;
  for (const line of text.split("\n")) {
    if (line.startsWith("test: ")) test = line.slice("test: ".length).trim();
    if (!line.startsWith("failure: ") || test === null) continue;
    entries.push({ test, failure: line.slice("failure: ".length).trim() });
    test = null;
  }
  return entries;
}

/** Matches a line of an assertion's diff that was not expected. */
const unexpectedLine = /^\s*\+ {3}'/;

/**
 * Whether the list contains this failure of this test. A failure whose diff has
 * several unexpected lines is known only if each of these lines is listed.
 */
export function isKnownFailure(
  entries: readonly KnownFailure[],
  failed: FailedTest,
): boolean {
  const path = failed.path.join(" > ");
  const known = entries
    .filter(({ test, failure }) => test === path && failure !== "")
    .map(({ failure }) => failure);
  const lines = failed.message.split("\n")
    .filter((line) => unexpectedLine.test(line));
  const seen = lines.length === 0 ? [failed.message] : lines;
  return seen.every((text) => known.some((failure) => text.includes(failure)));
}
