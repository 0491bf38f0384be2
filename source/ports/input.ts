/**
 * Access to input that this process has received and not read yet.
 *
 * @module
 */

/**
 * Resolves once all input that had arrived at the time of the call has been
 * read. Work that has waited starts only after that, because a message that
 * cancels it may still be unread.
 */
export type ReadPendingInput = () => Promise<void>;
