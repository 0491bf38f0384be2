/**
 * When nothing of an answer is left to come.
 *
 * @module
 */
import { finished } from "node:stream";
import type { AnswerBody } from "../ports/upstream.ts";

/** Calls back once, at once for a body that was read whole. */
export function onAnswerEnd(
  body: AnswerBody,
  end: (result: { readonly whole: boolean }) => void,
): void {
  if (body.kind === "whole") return end({ whole: true });
  finished(body.stream, { writable: false }, (error) => {
    end({ whole: !error });
  });
}
