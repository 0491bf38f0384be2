/**
 * Detects the end of an answer's body.
 *
 * @module
 */
import { finished } from "node:stream";
import type { AnswerBody } from "../ports/upstream.ts";

/**
 * Calls `end` once, when the body has ended: immediately for a body that has
 * been read already. `whole` is false for a stream that failed or was cut off.
 */
export function onAnswerEnd(
  body: AnswerBody,
  end: (result: { readonly whole: boolean }) => void,
): void {
  if (body.kind === "whole") return end({ whole: true });
  finished(body.stream, { writable: false }, (error) => {
    end({ whole: !error });
  });
}
