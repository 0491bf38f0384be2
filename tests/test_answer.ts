/**
 * Reads answers in tests.
 *
 * @module
 */
import { text } from "node:stream/consumers";
import type { AnswerBody } from "../source/ports/upstream.ts";

/** Reads an answer's body to its end and decodes it as text. */
export function textOf(body: AnswerBody): Promise<string> {
  return body.kind === "whole"
    ? Promise.resolve(new TextDecoder().decode(body.bytes))
    : text(body.stream);
}
