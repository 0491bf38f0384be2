/**
 * Compression of the messages between agents: what a grantor and a holder tell
 * each other once a second is mostly numbers under repeated names.
 *
 * @module
 */
import type { PerMessageDeflateOptions } from "ws";

/** A shorter message is sent as it is. */
const shortestMessageBytes = 512;
/** Of 2 to this power bytes: names repeat close to each other. */
const windowBits = 12;
/** From 1 to 9; more memory finds more repetitions. */
const memoryLevel = 5;
/** From 1 to 9; more takes more processor time. */
const level = 3;

/** The same for both ends; nothing is kept from message to message. */
export const compression: PerMessageDeflateOptions = {
  threshold: shortestMessageBytes,
  serverNoContextTakeover: true,
  clientNoContextTakeover: true,
  serverMaxWindowBits: windowBits,
  clientMaxWindowBits: windowBits,
  zlibDeflateOptions: { level, memLevel: memoryLevel },
};
