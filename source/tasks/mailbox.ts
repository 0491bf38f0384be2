/**
 * Mailboxes: the messages of a task are handled one at a time and to
 * completion, so that its state is never observed in the middle of a change.
 *
 * @module
 */

/** The queue of messages to a task. */
export interface Mailbox<Message> {
  /** Enqueues a message; ignored once the mailbox is closed. */
  send(message: Message): void;
  /** Drops waiting messages and ignores further ones. */
  close(): void;
}

/**
 * Opens a mailbox. `send` handles a message synchronously, unless another one
 * is being handled; then the message waits until that is done.
 */
export function openMailbox<Message>(
  handle: (message: Message) => void,
): Mailbox<Message> {
  const waiting: Message[] = [];
  let busy = false;
  let closed = false;
  function drain(): void {
    busy = true;
    try {
      while (!closed) {
        const message = waiting.shift();
        if (message === undefined) break;
        handle(message);
      }
    } finally {
      busy = false;
    }
  }
  return {
    send(message) {
      if (closed) return;
      waiting.push(message);
      if (!busy) drain();
    },
    close() {
      closed = true;
      waiting.length = 0;
    },
  };
}

/**
 * Sends a message composed with an answer callback, and waits for the answer.
 */
export function ask<Message, Answer>(
  mailbox: Mailbox<Message>,
  compose: (answer: (value: Answer) => void) => Message,
): Promise<Answer> {
  return new Promise((resolve) => mailbox.send(compose(resolve)));
}
