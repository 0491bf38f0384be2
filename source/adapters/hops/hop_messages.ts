/**
 * Messages on a link between two agents. A message is the length of its head in
 * four bytes, the head in JSON, and the bytes of a body.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type { Failure } from "../../core/request/outcome.ts";
import type { Departure } from "../../core/request/transit_delay.ts";
import type { Headers, ProxyRequest } from "../../ports/upstream.ts";
import type { HopCopy } from "./hop_deduplication.ts";

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
  /** Absent in messages from agents of an earlier release. */
  readonly departure?: Departure;
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
  /** Absent in messages from agents of an earlier release. */
  readonly slowness?: number | null;
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

const headLengthBytes = 4;
const emptyBody = new Uint8Array();

/** Encodes a message and the bytes of its body. */
export function encodeMessage(
  message: ClientMessage | ServerMessage,
  bytes: Uint8Array = emptyBody,
): Uint8Array {
  const head = Buffer.from(JSON.stringify(message));
  const frame = Buffer.allocUnsafe(
    headLengthBytes + head.length + bytes.length,
  );
  frame.writeUInt32BE(head.length, 0);
  head.copy(frame, headLengthBytes);
  frame.set(bytes, headLengthBytes + head.length);
  return frame;
}

/**
 * Decodes a message of one of these kinds; null for anything else. Of the
 * fields, only the kind and the numbers of the copy are checked, since agents
 * trust each other.
 */
export function decodeMessage<Message extends ClientMessage | ServerMessage>(
  data: Buffer,
  kinds: ReadonlySet<Message["kind"]>,
): DecodedMessage<Message> | null {
  if (data.length < headLengthBytes) return null;
  const end = headLengthBytes + data.readUInt32BE(0);
  if (end > data.length) return null;
  const message = parseJson(data.toString("utf8", headLengthBytes, end));
  if (!isMessage(message) || !kinds.has(message.kind)) return null;
  return { message: message as Message, bytes: data.subarray(end) };
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return null;
  }
}

function isMessage(
  value: unknown,
): value is ClientMessage | ServerMessage {
  if (typeof value !== "object" || value === null) return false;
  if (!("kind" in value) || !("hop" in value)) return false;
  const { hop } = value;
  return typeof hop === "object" && hop !== null && "sequence" in hop &&
    "copy" in hop && Number.isSafeInteger(hop.sequence) &&
    Number.isSafeInteger(hop.copy);
}
