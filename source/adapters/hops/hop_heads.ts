/**
 * Heads of messages on a link, as lists without property names and with repeated
 * strings as numbers. This saves most of their bytes, which are costly between
 * regions.
 *
 * @module
 */
import type { Failure } from "../../core/request/outcome.ts";
import type { HopCopy } from "./hop_deduplication.ts";
import type {
  AnswerMessage,
  ClientMessage,
  FailureMessage,
  RequestMessage,
  ServerMessage,
} from "./hop_messages.ts";
import type {
  EncodedHeaders,
  EncodedString,
  StringReader,
  StringWriter,
} from "./repeated_strings.ts";

type HopFields = readonly [
  sequence: number,
  copy: number,
  settledBelow: number,
  sender: EncodedString,
  receiver: EncodedString,
];
type TimeFields = readonly [
  clock: number,
  departedFrom: EncodedString | null,
  departedAt: number | null,
  deadlineMilliseconds: number,
  objectiveMilliseconds: number | null,
];
type ContentFields = readonly [
  id: string,
  method: string,
  path: string,
  authority: EncodedString,
  service: EncodedString,
  key: string | null,
  rank: number,
  idempotent: boolean,
  account: EncodedString | null,
  headers: EncodedHeaders,
];
type AnswerFields = readonly [
  status: number,
  load: number | null,
  slowness: number | null,
  headers: EncodedHeaders,
];
type AnsweredCopyFields = readonly [sequence: number, copy: number];

type RequestHead = readonly ["request", HopFields, TimeFields, ContentFields];
type CancelHead = readonly ["cancel", HopFields];
type AnswerHead = readonly [
  "answer",
  AnsweredCopyFields,
  AnswerFields,
  clock: number,
];
type FailureHead = readonly [
  "failure",
  AnsweredCopyFields,
  failure: Failure,
  clock: number,
];

/** The head of a message, as it is encoded in JSON. */
export type Head = RequestHead | CancelHead | AnswerHead | FailureHead;

/** Composes the head of a message. */
export function composeHead(
  message: ClientMessage | ServerMessage,
  strings: StringWriter,
): Head {
  switch (message.kind) {
    case "request":
      return composeRequestHead(message, strings);
    case "cancel":
      return [message.kind, composeHop(message.hop, strings)];
    case "answer": {
      const { hop, status, load, slowness, headers, clock } = message;
      const encoded = strings.writeHeaders(headers);
      const fields: AnswerFields = [status, load, slowness, encoded];
      return [message.kind, [hop.sequence, hop.copy], fields, clock];
    }
    case "failure": {
      const { hop, failure, clock } = message;
      return [message.kind, [hop.sequence, hop.copy], failure, clock];
    }
  }
}

function composeHop(hop: HopCopy, strings: StringWriter): HopFields {
  const { sequence, copy, settledBelow } = hop;
  const sender = strings.write(hop.sender);
  const receiver = strings.write(hop.receiver);
  return [sequence, copy, settledBelow, sender, receiver];
}

function composeRequestHead(
  message: RequestMessage,
  strings: StringWriter,
): RequestHead {
  const { hop, clock, departure, request } = message;
  const { deadlineMilliseconds, objectiveMilliseconds } = message;
  const hopFields = composeHop(hop, strings);
  const times: TimeFields = [
    clock,
    departure === null ? null : strings.write(departure.process),
    departure?.at ?? null,
    deadlineMilliseconds,
    objectiveMilliseconds,
  ];
  return ["request", hopFields, times, composeContent(request, strings)];
}

function composeContent(
  request: RequestMessage["request"],
  strings: StringWriter,
): ContentFields {
  const { id, method, path, key, rank, idempotent, account } = request;
  return [
    id,
    method,
    path,
    strings.write(request.authority),
    strings.write(request.service),
    key,
    rank,
    idempotent,
    account === undefined ? null : strings.write(account),
    strings.writeHeaders(request.headers),
  ];
}

/**
 * Reads a head that has been decoded from JSON. Null where the lists, the
 * numbers of the copy or the repeated strings are malformed.
 */
export function readHead(
  decoded: unknown,
  strings: StringReader,
): ClientMessage | ServerMessage | null {
  if (!isHead(decoded)) return null;
  switch (decoded[0]) {
    case "request":
      return readRequest(decoded, strings);
    case "cancel": {
      const hop = readHop(decoded[1], strings);
      return hop === null ? null : { kind: "cancel", hop };
    }
    case "answer":
      return readAnswer(decoded, strings);
    case "failure":
      return readFailure(decoded);
  }
}

/** How many lists follow the kind of a head. */
const listsOfKind: ReadonlyMap<unknown, number> = new Map<Head[0], number>([
  ["request", 3],
  ["cancel", 1],
  ["answer", 2],
  ["failure", 1],
]);

function isHead(decoded: unknown): decoded is Head {
  if (!Array.isArray(decoded)) return false;
  const [kind, ...fields] = decoded as readonly unknown[];
  const lists = listsOfKind.get(kind);
  if (lists === undefined || fields.length < lists) return false;
  if (!fields.slice(0, lists).every(Array.isArray)) return false;
  const [sequence, copy] = fields[0] as readonly unknown[];
  return [sequence, copy, clockOf(kind, fields)].every(Number.isSafeInteger);
}

/** The logical time of a head with these fields; 0 where it has none. */
function clockOf(kind: unknown, fields: readonly unknown[]): unknown {
  if (kind === "cancel") return 0;
  return kind === "request" ? (fields[1] as readonly unknown[])[0] : fields[2];
}

function readHop(fields: HopFields, strings: StringReader): HopCopy | null {
  const [sequence, copy, settledBelow] = fields;
  const sender = strings.read(fields[3]);
  const receiver = strings.read(fields[4]);
  if (sender === null || receiver === null) return null;
  return { sequence, copy, settledBelow, sender, receiver };
}

function readAnswer(
  [kind, [sequence, copy], fields, clock]: AnswerHead,
  strings: StringReader,
): AnswerMessage | null {
  const [status, load, slowness, encoded] = fields;
  const headers = strings.readHeaders(encoded);
  if (headers === null) return null;
  const hop = { sequence, copy };
  return { kind, hop, clock, status, headers, load, slowness };
}

function readFailure(
  [kind, [sequence, copy], failure, clock]: FailureHead,
): FailureMessage | null {
  if (typeof failure !== "object" || failure === null) return null;
  return { kind, hop: { sequence, copy }, clock, failure };
}

function readRequest(
  [kind, hopFields, times, contentFields]: RequestHead,
  strings: StringReader,
): RequestMessage | null {
  const [clock, departedFrom, at, ...left] = times;
  const [deadlineMilliseconds, objectiveMilliseconds] = left;
  // In the order of `composeRequestHead`, as each string may extend the table.
  const hop = readHop(hopFields, strings);
  const process = departedFrom === null ? null : strings.read(departedFrom);
  const request = readContent(contentFields, strings);
  if (hop === null || request === null) return null;
  const departure = process === null || at === null ? null : { process, at };
  return {
    kind,
    hop,
    clock,
    request,
    departure,
    deadlineMilliseconds,
    objectiveMilliseconds,
  };
}

function readContent(
  fields: ContentFields,
  strings: StringReader,
): RequestMessage["request"] | null {
  const [id, method, path, encodedAuthority, encodedService, ...rest] = fields;
  const [key, rank, idempotent, encodedAccount, encodedHeaders] = rest;
  // In the order of `composeContent`.
  const authority = strings.read(encodedAuthority);
  const service = strings.read(encodedService);
  const account = encodedAccount === null ? null : strings.read(encodedAccount);
  const headers = strings.readHeaders(encodedHeaders);
  if (authority === null || service === null || headers === null) return null;
  return {
    id,
    method,
    path,
    authority,
    headers,
    service,
    key,
    rank,
    idempotent,
    ...(account === null ? {} : { account }),
  };
}
