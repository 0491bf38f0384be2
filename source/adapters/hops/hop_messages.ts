/**
 * Messages on a link between two agents: a head in JSON, and the bytes of a
 * body behind it.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type { Failure } from "../../core/request/outcome.ts";
import type { Departure } from "../../core/request/transit_delay.ts";
import type { Headers, ProxyRequest } from "../../ports/upstream.ts";
import type { HopCopy } from "./hop_ledger.ts";

/** A request on its way to another agent. */
export interface RequestMessage {
  readonly kind: "request";
  readonly hop: HopCopy;
  readonly clock: number;
  readonly request: Omit<
    ProxyRequest,
    | "deadlineAt"
    | "objectiveAt"
    | "signal"
    | "longestBodyBytes"
    | "mostAttempts"
  >;
  /** Left out by agents of an earlier release. */
  readonly departure?: Departure;
  /** What was left of its time when it departed. */
  readonly deadlineMilliseconds: number;
  /** What is left of the objective; below zero once it has passed. */
  readonly objectiveMilliseconds: number | null;
}

/** The sender no longer wants this copy of a request. */
export interface CancelMessage {
  readonly kind: "cancel";
  readonly hop: HopCopy;
}

/** Names the copy that is answered to its sender. */
export type AnsweredHop = Pick<HopCopy, "sequence" | "copy">;

/** A target's whole answer. */
export interface AnswerMessage {
  readonly kind: "answer";
  readonly hop: AnsweredHop;
  readonly clock: number;
  readonly status: number;
  readonly headers: Headers;
  readonly load: number | null;
}

/** Why there is no answer of a target. */
export interface FailureMessage {
  readonly kind: "failure";
  readonly hop: AnsweredHop;
  readonly clock: number;
  readonly failure: Failure;
}

/** What the agent that sends a request on says. */
export type ClientMessage = RequestMessage | CancelMessage;

/** What the agent beside the target says. */
export type ServerMessage = AnswerMessage | FailureMessage;

/** A message with the bytes behind its head. */
export interface Received<Message> {
  readonly message: Message;
  readonly bytes: Uint8Array;
}

const headLengthBytes = 4;
const nothing = new Uint8Array();

/** Writes a message. */
export function encodeMessage(
  message: ClientMessage | ServerMessage,
  bytes: Uint8Array = nothing,
): Uint8Array {
  const head = Buffer.from(JSON.stringify(message));
  const whole = Buffer.allocUnsafe(
    headLengthBytes + head.length + bytes.length,
  );
  whole.writeUInt32BE(head.length, 0);
  head.copy(whole, headLengthBytes);
  whole.set(bytes, headLengthBytes + head.length);
  return whole;
}

/**
 * Reads a message of a kind that is expected; null for anything else. Agents
 * trust each other with the fields of a kind.
 */
export function decodeMessage<Message extends ClientMessage | ServerMessage>(
  data: Buffer,
  kinds: ReadonlySet<Message["kind"]>,
): Received<Message> | null {
  if (data.length < headLengthBytes) return null;
  const end = headLengthBytes + data.readUInt32BE(0);
  if (end > data.length) return null;
  const message = parse(data.toString("utf8", headLengthBytes, end));
  if (!isMessage(message) || !kinds.has(message.kind)) return null;
  return { message: message as Message, bytes: data.subarray(end) };
}

function parse(text: string): unknown {
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
