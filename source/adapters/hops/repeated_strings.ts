/**
 * Encodes strings that repeat from message to message on a link as numbers.
 * Both ends of a link see its messages in the same order, so both build the
 * same tables from what is sent in full, and no table is ever transmitted.
 *
 * Invariant: the writer and the reader of a direction have equal tables after
 * each message.
 *
 * @module
 */
import type { Headers } from "../../ports/upstream.ts";

/** A string that is sent in full, or its index in the table. */
export type EncodedString = string | number;

/** The value of a header field, or `sameValue`. */
type EncodedValue = string | readonly string[] | typeof sameValue;

/** Header fields: each name is followed by its value. */
export type EncodedHeaders = ReadonlyArray<EncodedString | EncodedValue>;

/** Strings in a table; further ones are sent in full each time. */
const maxStrings = 256;
/** Longer strings and values are not kept, since headers may be large. */
const maxKeptLength = 128;
/** Stands for the value that the field had in the latest message with it. */
const sameValue = 0;

/** Encodes the strings of one direction of a link. */
export interface StringWriter {
  write(text: string): EncodedString;
  writeHeaders(headers: Headers): EncodedHeaders;
}

/** Decodes them; null for what a writer does not produce. */
export interface StringReader {
  read(encoded: unknown): string | null;
  readHeaders(encoded: unknown): Headers | null;
}

/** A writer with an empty table. */
export function createStringWriter(): StringWriter {
  const indexes = new Map<string, number>();
  const latest = createLatestValues();

  function write(text: string): EncodedString {
    const index = indexes.get(text);
    if (index !== undefined) return index;
    if (isKept(text, indexes.size)) indexes.set(text, indexes.size);
    return text;
  }

  function writeValue(name: string, value: Headers[string]): EncodedValue {
    if (typeof value !== "string") return value;
    if (latest.of(name) === value) return sameValue;
    latest.keep(name, value);
    return value;
  }

  return {
    write,
    // A list of values stays one element: only one level is flattened.
    writeHeaders: (headers) =>
      Object.entries(headers).flatMap(([name, value]) => [
        write(name),
        writeValue(name, value),
      ]),
  };
}

/** A reader with an empty table. */
export function createStringReader(): StringReader {
  const strings: string[] = [];
  const latest = createLatestValues();

  function read(encoded: unknown): string | null {
    if (typeof encoded === "number") return strings[encoded] ?? null;
    if (typeof encoded !== "string") return null;
    if (isKept(encoded, strings.length)) strings.push(encoded);
    return encoded;
  }

  function readValue(name: string, encoded: unknown): Headers[string] | null {
    if (encoded === sameValue) return latest.of(name) ?? null;
    if (typeof encoded === "string") latest.keep(name, encoded);
    return isValue(encoded) ? encoded : null;
  }

  return {
    read,
    readHeaders(encoded) {
      if (!Array.isArray(encoded)) return null;
      const fields: [string, Headers[string]][] = [];
      for (let index = 0; index < encoded.length; index += 2) {
        const name = read(encoded[index]);
        if (name === null) return null;
        const value = readValue(name, encoded[index + 1]);
        if (value === null) return null;
        fields.push([name, value]);
      }
      return Object.fromEntries(fields);
    },
  };
}

function isKept(text: string, kept: number): boolean {
  return kept < maxStrings && text.length <= maxKeptLength;
}

function isValue(encoded: unknown): encoded is Headers[string] {
  return typeof encoded === "string" ||
    (Array.isArray(encoded) &&
      encoded.every((part) => typeof part === "string"));
}

/** The latest value of each header field, for a bounded number of fields. */
interface LatestValues {
  of(name: string): string | undefined;
  keep(name: string, value: string): void;
}

function createLatestValues(): LatestValues {
  const values = new Map<string, string>();
  return {
    of: (name) => values.get(name),
    keep(name, value) {
      if (value.length > maxKeptLength || name.length > maxKeptLength) {
        values.delete(name);
      } else if (values.has(name) || values.size < maxStrings) {
        values.set(name, value);
      }
    },
  };
}
