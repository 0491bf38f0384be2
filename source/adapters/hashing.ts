/**
 * The hash function that is used to place keys.
 *
 * @module
 */
import murmurhash from "murmurhash";

/** MurmurHash3 of a text: a 32-bit unsigned number. */
export function hashText(text: string, seed: number): number {
  return murmurhash.v3(text, seed);
}
