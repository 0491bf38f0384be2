/**
 * Compares and merges documents section by section, keeping each section's
 * text as its owner wrote it.
 *
 * @module
 */
import { Result } from "true-myth";
import { type Document, isMap, parseDocument, stringify } from "yaml";

/** How one section differs between two documents. */
export interface SectionChange {
  readonly kind: "add" | "remove" | "change";
  readonly section: string;
  /** Lines that go, marked `-`, and lines that come, marked `+`. */
  readonly lines: readonly string[];
}

function sectionTexts(
  text: string,
): Result<ReadonlyMap<string, string>, string> {
  const document = parse(text);
  if (document === null) return Result.err("the text is no YAML document");
  const sections: unknown = document.get("sections");
  if (!isMap(sections)) return Result.ok(new Map());
  const names = sections.items.map((item) => String(item.key));
  return Result.ok(
    new Map(names.map((name) => [name, writeSection(document, name)])),
  );
}

function parse(text: string): Document | null {
  const document = parseDocument(text);
  return document.errors.length > 0 ? null : document;
}

function writeSection(document: Document, name: string): string {
  const plain = document.toJS() as { sections: Record<string, unknown> };
  return stringify(plain.sections[name]).trimEnd();
}

/** The sections that differ, in the order of their names. */
export function compareSections(
  former: string,
  edited: string,
): Result<readonly SectionChange[], string> {
  const before = sectionTexts(former);
  const after = sectionTexts(edited);
  if (before.isErr) return Result.err(before.error);
  if (after.isErr) return Result.err(after.error);
  const names = new Set([...before.value.keys(), ...after.value.keys()]);
  const changes = [...names].sort().flatMap((section) =>
    compareSection(section, {
      before: before.value.get(section) ?? null,
      after: after.value.get(section) ?? null,
    })
  );
  return Result.ok(changes);
}

function compareSection(
  section: string,
  texts: { readonly before: string | null; readonly after: string | null },
): readonly SectionChange[] {
  const { before, after } = texts;
  if (before === after) return [];
  const kind = before === null ? "add" : after === null ? "remove" : "change";
  const left = (before ?? "").split("\n");
  const right = (after ?? "").split("\n");
  const lines = [
    ...left.filter((line) => !right.includes(line)).map((line) => `- ${line}`),
    ...right.filter((line) => !left.includes(line)).map((line) => `+ ${line}`),
  ];
  return [{ kind, section, lines }];
}

/** What to merge. */
export interface MergeOptions {
  /** The stored text; null when there is none. */
  readonly current: string | null;
  readonly edited: string;
  /** What the edit started from; null to take it as an edit of `current`. */
  readonly base: string | null;
  /** Only this section is taken over; null for all of the file's sections. */
  readonly section: string | null;
}

/**
 * The stored document with the edited sections in place. A section that
 * somebody else changed since `base`, and that the edit changes too, is a
 * conflict; it is named in the fault.
 */
export function mergeSections(merge: MergeOptions): Result<string, string> {
  const { current, edited, base, section } = merge;
  if (current === null) return Result.ok(edited);
  const own = compareSections(base ?? current, edited);
  if (own.isErr) return Result.err(own.error);
  const wanted = own.value.filter((change) =>
    section === null || change.section === section
  );
  const others = base === null ? null : compareSections(base, current);
  if (others !== null && others.isErr) return Result.err(others.error);
  const taken = new Set((others?.value ?? []).map((change) => change.section));
  const conflicts = wanted.filter((change) => taken.has(change.section));
  if (conflicts.length > 0) {
    const names = conflicts.map((change) => change.section).join(", ");
    return Result.err(`somebody else changed the same sections: ${names}`);
  }
  return replaceSections(current, { edited, wanted });
}

function replaceSections(
  current: string,
  options: {
    readonly edited: string;
    readonly wanted: readonly SectionChange[];
  },
): Result<string, string> {
  const document = parse(current);
  const source = parse(options.edited);
  if (document === null || source === null) {
    return Result.err("the text is no YAML document");
  }
  for (const change of options.wanted) {
    const path = ["sections", change.section];
    if (change.kind === "remove") document.deleteIn(path);
    else document.setIn(path, source.getIn(path, true));
  }
  return Result.ok(document.toString());
}
