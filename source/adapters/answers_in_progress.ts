/**
 * Counts the bytes of answers that are being read from the target, which are
 * buffered until they are complete.
 *
 * @module
 */
import type { Dispatcher } from "undici";
import { firstValue } from "./headers.ts";
import type { Headers } from "../ports/upstream.ts";

/** The answers that are being read. */
export interface AnswersInProgress {
  /** Returns a connection whose answers are counted while they are read. */
  follow(connection: Dispatcher): Dispatcher;
  /**
   * The stated length of each answer that is being read, or what has been read
   * of it if that is more.
   */
  bytes(): number;
}

/** Starts with no answer. */
export function startAnswersInProgress(): AnswersInProgress {
  const followed = new WeakMap<Dispatcher, Dispatcher>();
  let totalBytes = 0;

  /** Counts the answer of one request. */
  function countAnswer() {
    let counted = 0;
    let read = 0;
    const setAtLeast = (bytes: number) => {
      if (bytes <= counted) return;
      totalBytes += bytes - counted;
      counted = bytes;
    };
    return {
      state: setAtLeast,
      read(bytes: number) {
        read += bytes;
        setAtLeast(read);
      },
      end() {
        totalBytes -= counted;
        counted = 0;
      },
    };
  }

  const count: Dispatcher.DispatcherComposeInterceptor =
    (dispatch) => (request, handler) => {
      const answer = countAnswer();
      return dispatch(request, {
        onRequestStart: (...event) => handler.onRequestStart?.(...event),
        onResponseStart(...event) {
          const [, , headers] = event;
          const length = Number(
            firstValue(headers as Headers, "content-length") ?? 0,
          );
          if (Number.isSafeInteger(length)) answer.state(length);
          handler.onResponseStart?.(...event);
        },
        onResponseData(...event) {
          answer.read(event[1].length);
          handler.onResponseData?.(...event);
        },
        onResponseEnd(...event) {
          answer.end();
          handler.onResponseEnd?.(...event);
        },
        onResponseError(...event) {
          answer.end();
          handler.onResponseError?.(...event);
        },
      });
    };

  return {
    follow(connection) {
      const known = followed.get(connection);
      if (known !== undefined) return known;
      const counting = connection.compose(count);
      followed.set(connection, counting);
      return counting;
    },
    bytes: () => totalBytes,
  };
}
