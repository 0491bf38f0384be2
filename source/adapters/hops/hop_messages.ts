/**
 * Messages on a link between two agents. A message is the length of its head in
 * four bytes, the head in JSON (`hop_heads.ts`), and the bytes of a body.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type { Failure } from "../../core/request/outcome.ts";
import type { Departure } from "../../core/request/transit_delay.ts";
import type { Headers, ProxyRequest } from "../../ports/upstream.ts";
import type { HopCopy } from "./hop_deduplication.ts";
import { composeHead, readHead } from "./hop_heads.ts";
import { createStringReader, createStringWriter } from "./repeated_strings.ts";

/** A request that is forwarded to another agent; its body follows the head. */
export interface RequestMessage {
  readonly kind: "request";
  readonly hop: HopCopy;
  /** The logical time of the sender. */
  readonly clock: number;
  readonly request: Omit<
    ProxyRequest,
    | "deadlineAt"
    | "objectiveAt"
    | "signal"
    | "longestBodyBytes"
    | "maxAttempts"
  >;
  /** Null if the sender does not tell it. */
  readonly departure: Departure | null;
  /** The time from its departure to its deadline. */
  readonly deadlineMilliseconds: number;
  /**
   * The time from its departure to its objective; negative once the objective
   * has passed, null without one.
   */
  readonly objectiveMilliseconds: number | null;
}

/** The sender has given the request up. */
export interface CancelMessage {
  readonly kind: "cancel";
  readonly hop: HopCopy;
}

/** Identifies to a sender which of its copies is answered. */
export type AnsweredCopy = Pick<HopCopy, "sequence" | "copy">;

/** The complete answer of a target; its body follows the head. */
export interface AnswerMessage {
  readonly kind: "answer";
  readonly hop: AnsweredCopy;
  readonly clock: number;
  readonly status: number;
  readonly headers: Headers;
  readonly load: number | null;
  readonly slowness: number | null;
}

/** Why a request has no answer of a target. */
export interface FailureMessage {
  readonly kind: "failure";
  readonly hop: AnsweredCopy;
  readonly clock: number;
  readonly failure: Failure;
}

/** A message from the agent that forwards requests. */
export type ClientMessage = RequestMessage | CancelMessage;

/** A message from the agent that forwarded requests are sent to. */
export type ServerMessage = AnswerMessage | FailureMessage;

/** A message and the bytes of its body. */
export interface DecodedMessage<Message> {
  readonly message: Message;
  readonly bytes: Uint8Array;
}

/** Encodes the messages of one direction of a link, in order. */
export type EncodeMessage = (
  message: ClientMessage | ServerMessage,
  bytes?: Uint8Array,
) => Uint8Array;

/** Decodes the messages of one direction of a link, in order. */
export type DecodeMessage<Message> = (
  data: Buffer,
) => DecodedMessage<Message> | null;

const headLengthBytes = 4;
const emptyBody = new Uint8Array();

/** Creates the encoder of one direction of a link. */
export function createEncoder(): EncodeMessage {
  const writer = createStringWriter();
  return (message, bytes = emptyBody) => {
    const head = Buffer.from(JSON.stringify(composeHead(message, writer)));
    const frame = Buffer.allocUnsafe(
      headLengthBytes + head.length + bytes.length,
    );
    frame.writeUInt32BE(head.length, 0);
    head.copy(frame, headLengthBytes);
    frame.set(bytes, headLengthBytes + head.length);
    return frame;
  };
}

/**
 * Creates the decoder of one direction of a link. It returns null for anything
 * but a message of one of these kinds. Of the fields, only the kind, the
 * numbers of the copy and repeated strings are checked, since agents trust each
 * other.
 */
export function createDecoder<Message extends ClientMessage | ServerMessage>(
  kinds: ReadonlySet<Message["kind"]>,
): DecodeMessage<Message> {
  const reader = createStringReader();
  return (data) => {
    if (data.length < headLengthBytes) return null;
    const end = headLengthBytes + data.readUInt32BE(0);
    if (end > data.length) return null;
    const head = parseJson(data.toString("utf8", headLengthBytes, end));
    const message = readHead(head, reader);
    if (message === null || !hasKind(message, kinds)) return null;
    return { message, bytes: data.subarray(end) };
  };
}

function hasKind<Message extends ClientMessage | ServerMessage>(
  message: ClientMessage | ServerMessage,
  kinds: ReadonlySet<Message["kind"]>,
): message is Message {
  return kinds.has(message.kind);
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return null;
  }
}
