/**
 * Writes answers to callers. An answer that cannot be completed ends with its
 * connection, so that the caller sees that it was cut off.
 *
 * @module
 */
import type { ServerResponse } from "node:http";
import type { Duplex, Readable } from "node:stream";
import type { Headers, ProxyAnswer } from "../../ports/upstream.ts";
import type { CallerProtocol, FailedRequest } from "./caller_protocol.ts";
import { fields } from "../headers.ts";

/** What a listener applies to all answers that it writes. */
export interface WriteContext {
  readonly protocol: CallerProtocol;
  /** Called just before the status line and header fields are written. */
  readonly beforeHead: (response: ServerResponse) => void;
}

/** A page for operators. */
export interface PageContent {
  readonly status: number;
  readonly contentType: string;
  readonly text: string;
}

/** Writes a page for operators. */
export function writePage(response: ServerResponse, page: PageContent): void {
  response.writeHead(page.status, { "content-type": page.contentType });
  response.end(page.text);
}

/**
 * Reports a failure to the caller, after the answers to earlier requests on its
 * connection. Does nothing when the connection is closed or an answer has been
 * started.
 */
export function writeFailure(
  response: ServerResponse,
  failed: FailedRequest,
  context: WriteContext,
): void {
  whenNextOnConnection(
    response,
    () => writeFailureImmediately(response, failed, context),
  );
}

/**
 * Like {@link writeFailure}, but also writes while earlier answers on the
 * connection are pending. The HTTP server then stops reading from the
 * connection, which limits a caller that sends more requests than it may.
 */
export function writeFailureImmediately(
  response: ServerResponse,
  failed: FailedRequest,
  { protocol, beforeHead }: WriteContext,
): void {
  if (response.destroyed || response.headersSent) return;
  const { status, headers, body } = protocol.composeFailure(failed);
  beforeHead(response);
  response.writeHead(status, headers as Record<string, string | string[]>);
  response.end(body);
}

/**
 * Calls `write` when the response is the next one on its connection. The HTTP
 * server stops reading from a connection while a later response has been
 * written, and a disconnect of the caller would then go unnoticed.
 */
function whenNextOnConnection(
  response: ServerResponse,
  write: () => void,
): void {
  if (response.socket !== null || response.destroyed) return write();
  response.once("socket", write);
}

/** An answer to write, with the signal that aborts it. */
export interface AnswerToWrite {
  readonly answer: ProxyAnswer;
  readonly headers: Headers;
  /** Aborts a streamed body: its caller has left or its time is over. */
  readonly signal: AbortSignal;
}

/** Writes an answer; closes the connection when a streamed body is cut off. */
export function writeAnswer(
  response: ServerResponse,
  { answer, headers, signal }: AnswerToWrite,
  { beforeHead }: WriteContext,
): void {
  const { body } = answer;
  if (body.kind === "stream") destroyOnAbort(body.stream, signal);
  whenNextOnConnection(response, () => {
    if (response.destroyed) return;
    // The stream can fail before any of the answer has been written.
    if (body.kind === "stream" && body.stream.destroyed) {
      return void response.destroy();
    }
    beforeHead(response);
    response.writeHead(
      answer.status,
      headers as Record<string, string | string[]>,
    );
    if (body.kind === "whole") return void response.end(body.bytes);
    pipe(body.stream, response);
  });
}

function destroyOnAbort(stream: Readable, signal: AbortSignal): void {
  stream.on("error", () => undefined);
  if (signal.aborted) return void stream.destroy();
  signal.addEventListener("abort", () => stream.destroy(), { once: true });
}

function pipe(stream: Readable, response: ServerResponse): void {
  stream.on("error", () => response.destroy());
  stream.on("aborted", () => response.destroy());
  response.on("close", () => stream.destroy());
  stream.pipe(response);
}

/**
 * Answers input that is not valid HTTP (400) or whose header fields are too
 * long (431), and closes the connection.
 */
export function refuseInvalidHttp(error: Error, socket: Duplex): void {
  const code = "code" in error ? String(error.code) : "";
  if (code === "ECONNRESET" || !socket.writable) return void socket.destroy();
  const tooLong = code === "HPE_HEADER_OVERFLOW";
  const status = tooLong
    ? "431 Request Header Fields Too Large"
    : "400 Bad Request";
  const text = JSON.stringify({
    outcome: "not-run",
    reason: "malformed-request",
    message: tooLong
      ? "the header fields are too long; shorten or drop some of them"
      : "this is no HTTP/1.1 request",
  });
  socket.end(
    `HTTP/1.1 ${status}\r\nconnection: close\r\n` +
      `content-type: application/json\r\n${fields.outcome}: not-run\r\n` +
      `${fields.reason}: malformed-request\r\n` +
      `content-length: ${text.length + 1}\r\n\r\n${text}\n`,
  );
}
