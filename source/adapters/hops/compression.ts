/**
 * Compression of the calls between agents. Renewals, which a holder sends its
 * grantor once a second, and their answers consist mostly of numbers under
 * repeated property names.
 *
 * @module
 */
import type { PerMessageDeflateOptions } from "ws";

/** Shorter messages are sent uncompressed. */
const minMessageBytes = 512;
/** Base-2 logarithm of the window size; names repeat close to each other. */
const windowBits = 12;
/** From 1 to 9; more memory finds more repetitions. */
const memoryLevel = 5;
/** From 1 to 9; a higher level takes more processor time. */
const level = 3;

/**
 * Options of permessage-deflate, the same for both ends. No compression context
 * is kept between messages.
 */
export const compression: PerMessageDeflateOptions = {
  threshold: minMessageBytes,
  serverNoContextTakeover: true,
  clientNoContextTakeover: true,
  serverMaxWindowBits: windowBits,
  clientMaxWindowBits: windowBits,
  zlibDeflateOptions: { level, memLevel: memoryLevel },
};
