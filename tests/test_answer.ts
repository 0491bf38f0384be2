/**
 * Answers as tests look at them.
 *
 * @module
 */
import { text } from "node:stream/consumers";
import type { AnswerBody } from "../source/ports/upstream.ts";

/** The text of an answer, read to its end. */
export function textOf(body: AnswerBody): Promise<string> {
  return body.kind === "whole"
    ? Promise.resolve(new TextDecoder().decode(body.bytes))
    : text(body.stream);
}
