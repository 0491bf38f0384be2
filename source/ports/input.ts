/**
 * What has come to this process and is still unread.
 *
 * @module
 */

/**
 * Resolves once all that had come when it was called has been read. Work that
 * was kept waiting is begun only then: the word that nobody wants it any more
 * may lie unread.
 */
export type ReadPendingInput = () => Promise<void>;
