/**
 * Compares and merges documents section by section; sections that an edit does
 * not change keep the text that their owners wrote.
 *
 * @module
 */
import { Result } from "true-myth";
import { type Document, isMap, parseDocument, stringify } from "yaml";

/** The difference of one section between two documents. */
export interface SectionChange {
  readonly kind: "add" | "remove" | "change";
  readonly section: string;
  /** Removed lines, prefixed with `-`, and added lines, prefixed with `+`. */
  readonly lines: readonly string[];
}

function sectionTexts(
  text: string,
): Result<ReadonlyMap<string, string>, string> {
  const document = parse(text);
  if (document === null) return Result.err("the text is not valid YAML");
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
  const content = document.toJS() as { sections: Record<string, unknown> };
  return stringify(content.sections[name]).trimEnd();
}

/** The sections that differ, sorted by name; an error for invalid YAML. */
export function compareSections(
  base: string,
  edited: string,
): Result<readonly SectionChange[], string> {
  const before = sectionTexts(base);
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

/** Options of {@link mergeSections}. */
export interface MergeOptions {
  /** The stored text; null when there is none. */
  readonly current: string | null;
  readonly edited: string;
  /** The text that was edited; null for `current`. */
  readonly base: string | null;
  /** The only section to apply; null for all sections of the edit. */
  readonly section: string | null;
}

/**
 * Applies the edited sections to the stored document. A section that was
 * changed both by the edit and by somebody else since `base` is a conflict; the
 * error names all such sections.
 */
export function mergeSections(merge: MergeOptions): Result<string, string> {
  const { current, edited, base, section } = merge;
  if (current === null) return Result.ok(edited);
  const ours = compareSections(base ?? current, edited);
  if (ours.isErr) return Result.err(ours.error);
  const wanted = ours.value.filter((change) =>
    section === null || change.section === section
  );
  const theirs = base === null ? null : compareSections(base, current);
  if (theirs !== null && theirs.isErr) return Result.err(theirs.error);
  const changedByOthers = new Set(
    (theirs?.value ?? []).map((change) => change.section),
  );
  const conflicts = wanted.filter((change) =>
    changedByOthers.has(change.section)
  );
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
    return Result.err("the text is not valid YAML");
  }
  for (const change of options.wanted) {
    const path = ["sections", change.section];
    if (change.kind === "remove") document.deleteIn(path);
    else document.setIn(path, source.getIn(path, true));
  }
  return Result.ok(document.toString());
}
