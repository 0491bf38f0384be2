/**
 * Mailboxes: a task's messages are handled one after the other, each to its
 * end, so that the task's state is never seen half changed.
 *
 * @module
 */

/** Where messages to a task go. */
export interface Mailbox<Message> {
  /** Takes a message; ignored once the mailbox is closed. */
  send(message: Message): void;
  /** Handles nothing more. */
  close(): void;
}

/** Opens a mailbox; a message sent while one is handled waits its turn. */
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

/** Sends a message that carries its own answer, and waits for that. */
export function ask<Message, Answer>(
  mailbox: Mailbox<Message>,
  compose: (answer: (value: Answer) => void) => Message,
): Promise<Answer> {
  return new Promise((resolve) => mailbox.send(compose(resolve)));
}
