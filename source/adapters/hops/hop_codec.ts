/**
 * Encodes messages on a link between two agents. A message is the length of its
 * head in four bytes, the head in JSON (`hop_heads.ts`), and the bytes of a
 * body.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { composeHead, readHead } from "./hop_heads.ts";
import type { ClientMessage, ServerMessage } from "./hop_messages.ts";
import { createStringReader, createStringWriter } from "./repeated_strings.ts";

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
