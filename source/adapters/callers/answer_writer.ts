/**
 * Writes answers to callers: each whole, or visibly broken off.
 *
 * @module
 */
import type { ServerResponse } from "node:http";
import type { Duplex, Readable } from "node:stream";
import type { Headers, ProxyAnswer } from "../../ports/upstream.ts";
import type { CallerProtocol, FailedRequest } from "./caller_protocol.ts";
import { fields } from "../headers.ts";

/** How a listener writes what it answers. */
export interface WriteContext {
  readonly protocol: CallerProtocol;
  /** Called just before the head of an answer is written. */
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

/** Answers a request that has failed, unless that can't be done any more. */
export function writeFailure(
  response: ServerResponse,
  failed: FailedRequest,
  writing: WriteContext,
): void {
  onceNext(response, () => writeFailureImmediately(response, failed, writing));
}

/**
 * The same for a request of a caller that sends more than it may: written even
 * if others wait before it, so that nothing more is read for a while.
 */
export function writeFailureImmediately(
  response: ServerResponse,
  failed: FailedRequest,
  { protocol: dialect, beforeHead }: WriteContext,
): void {
  if (response.destroyed || response.headersSent) return;
  const { status, headers, body } = dialect.composeFailure(failed);
  beforeHead(response);
  response.writeHead(status, headers as Record<string, string | string[]>);
  response.end(body);
}

/**
 * Calls back when the response is the next one on its connection. What is
 * written sooner counts as a backlog, for which the HTTP server stops reading:
 * then nothing shows any more that the caller leaves.
 */
function onceNext(response: ServerResponse, write: () => void): void {
  if (response.socket !== null || response.destroyed) return write();
  response.once("socket", write);
}

/** An answer, and what ends it. */
export interface AnswerToWrite {
  readonly answer: ProxyAnswer;
  readonly headers: Headers;
  /** Ends a body that is still to come: its caller has left, or its time. */
  readonly signal: AbortSignal;
}

/** Writes an answer; a body that breaks off breaks the connection. */
export function writeAnswer(
  response: ServerResponse,
  { answer, headers, signal }: AnswerToWrite,
  { beforeHead }: WriteContext,
): void {
  const { body } = answer;
  if (body.kind === "stream") endWithCaller(body.stream, signal);
  onceNext(response, () => {
    if (response.destroyed) return;
    // An answer of which nothing has gone out yet can still break off.
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

function endWithCaller(stream: Readable, signal: AbortSignal): void {
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

/** Answers what is no HTTP request, or has fields that are too long. */
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
