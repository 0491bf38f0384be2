/**
 * Parses the operators' document from YAML to sections. Each fault is reported
 * with its section and line.
 *
 * @module
 */
import { type Document, LineCounter, parseDocument } from "yaml";
import { z } from "zod";
import {
  type ParsedDocument,
  type Section,
  type SectionContent,
  type SectionFault,
  wholeDocument,
} from "../../core/document/document.ts";

const name = z.string().regex(
  /^[a-z][a-z0-9-]{0,62}$/,
  "must be lower-case letters, digits and hyphens, 63 at most",
);

const unitMilliseconds: Readonly<Record<string, number>> = {
  ms: 1,
  s: 1_000,
  m: 60_000,
};

const duration = z.string()
  .regex(/^\d{1,6}(ms|s|m)$/, 'must be a duration such as "250ms" or "2s"')
  .transform((text) => {
    const [, digits = "0", unit = "ms"] = /^(\d+)(\w+)$/.exec(text) ?? [];
    return Number(digits) * (unitMilliseconds[unit] ?? 1);
  });

const unitBytes: Readonly<Record<string, number>> = {
  B: 1,
  KB: 1_000,
  MB: 1_000_000,
  GB: 1_000_000_000,
};

const size = z.string()
  .regex(/^\d{1,6}(B|KB|MB|GB)$/, 'must be a size such as "64KB" or "2GB"')
  .transform((text) => {
    const [, digits = "0", unit = "B"] = /^(\d+)(\w+)$/.exec(text) ?? [];
    return Number(digits) * (unitBytes[unit] ?? 1);
  });

const rank = z.strictObject({
  name,
  share: z.number().min(0).max(0.9),
  default_deadline: duration,
}).transform((rank) => ({
  name: rank.name,
  share: rank.share,
  defaultDeadlineMilliseconds: rank.default_deadline,
}));

const ranks = z.strictObject({
  owner: name,
  kind: z.literal("ranks"),
  ranks: z.array(rank).min(1).max(16),
}).superRefine((section, context) => {
  const sum = section.ranks.reduce((sum, rank) => sum + rank.share, 0);
  if (sum > 0.9) {
    const message = "the shares of all ranks may add up to 0.9 at most";
    context.addIssue({ code: "custom", path: ["ranks"], message });
  }
  rejectDuplicates(section.ranks.map((rank) => rank.name), {
    context,
    path: "ranks",
  });
});

const regions = z.strictObject({
  owner: name,
  kind: z.literal("regions"),
  regions: z.array(
    z.strictObject({ name, data_centers: z.array(name).min(1) })
      .transform((region) => ({
        name: region.name,
        dataCenters: region.data_centers,
      })),
  ).min(1),
}).superRefine((section, context) => {
  const names = section.regions.flatMap((region) => region.dataCenters);
  rejectDuplicates(names, { context, path: "regions" });
});

const route = z.string().regex(
  /^(\/(:key|[A-Za-z0-9._-]+))*(\/\*|\/)?$/,
  'must be a path such as "/slots/:key" or "/slots/:key/*"',
).min(1);

const service = z.strictObject({
  owner: name,
  kind: z.literal("service"),
  service: name,
  routes: z.array(route).min(1).max(64),
  keys: z.strictObject({
    groups: z.number().int().min(1).max(10_000),
    slices_per_group: z.number().int().min(1).max(4_096),
  }).optional(),
  default_rank: name,
  longest_deadline: duration,
  queue_length: z.number().int().min(0).max(10_000).default(64),
  longest_body: size.default(1_000_000_000),
}).superRefine((section, context) => {
  const message = "a service without keys can't have :key in a route";
  const keyed = section.routes.some((route) => route.includes(":key"));
  if (keyed && section.keys === undefined) {
    context.addIssue({ code: "custom", path: ["routes"], message });
  }
});

function rejectDuplicates(
  names: readonly string[],
  options: { readonly context: z.RefinementCtx; readonly path: string },
): void {
  const duplicate = names.find((name, index) => names.indexOf(name) !== index);
  if (duplicate === undefined) return;
  options.context.addIssue({
    code: "custom",
    path: [options.path],
    message: `"${duplicate}" is listed twice`,
  });
}

const kinds = { ranks, regions, service } as const;

const documentSchema = z.strictObject({
  format: z.literal(1),
  sections: z.record(z.string(), z.unknown()),
});

/** Upper bound of the text, which is stored as one value of the store. */
const maxDocumentLength = 900_000;

/** Parses a whole document; reports invalid text as faults and never throws. */
export function readDocument(text: string): ParsedDocument {
  if (text.length > maxDocumentLength) {
    const reason = `is longer than ${maxDocumentLength} bytes`;
    return unreadable([{ line: 1, reason }]);
  }
  const lines = new LineCounter();
  const document = parseDocument(text, {
    lineCounter: lines,
    uniqueKeys: true,
    prettyErrors: false,
  });
  if (document.errors.length > 0) {
    return unreadable(document.errors.map((error) => ({
      line: lines.linePos(error.pos[0]).line,
      reason: error.message,
    })));
  }
  return readSections(document, lines);
}

function unreadable(
  faults: readonly { readonly line: number; readonly reason: string }[],
): ParsedDocument {
  return {
    sections: [],
    faults: faults.map((fault) => ({
      section: wholeDocument,
      path: "",
      ...fault,
    })),
  };
}

function readSections(document: Document, lines: LineCounter): ParsedDocument {
  const content = toPlainValue(document);
  const parsedDocument = documentSchema.safeParse(content);
  if (!parsedDocument.success) {
    return unreadable(parsedDocument.error.issues.map((issue) => ({
      line: lineOf(document, { path: issue.path, lines }),
      reason: describe(issue),
    })));
  }
  const sections: Section[] = [];
  const faults: SectionFault[] = [];
  for (const [name, value] of Object.entries(parsedDocument.data.sections)) {
    const read = readSection(value, { name, document, lines });
    if (Array.isArray(read)) faults.push(...read);
    else sections.push(read as Section);
  }
  return { sections, faults };
}

/** Excessive alias expansion makes the library throw; null reports a fault. */
function toPlainValue(document: Document): unknown {
  try {
    return document.toJS({ maxAliasCount: 100 });
  } catch {
    return null;
  }
}

function readSection(
  value: unknown,
  options: {
    readonly name: string;
    readonly document: Document;
    readonly lines: LineCounter;
  },
): Section | readonly SectionFault[] {
  const { name: section, document, lines } = options;
  const line = lineOf(document, { path: ["sections", section], lines });
  const schema = schemaOf(value);
  if (!name.safeParse(section).success) {
    const reason = "a section's name " + name.safeParse(section).error
      ?.issues[0]?.message;
    return [{ section, path: "", line, reason }];
  }
  if (schema === null) {
    const reason = `kind must be one of: ${Object.keys(kinds).join(", ")}`;
    return [{ section, path: "kind", line, reason }];
  }
  const parsed = schema.safeParse(value);
  if (parsed.success) {
    return {
      name: section,
      owner: parsed.data.owner,
      line,
      content: toContent(parsed.data),
    };
  }
  return parsed.error.issues.map((issue) => ({
    section,
    path: issue.path.join("."),
    line: lineOf(document, {
      path: ["sections", section, ...issue.path],
      lines,
    }),
    reason: describe(issue),
  }));
}

function schemaOf(value: unknown) {
  if (typeof value !== "object" || value === null) return null;
  const kind: unknown = "kind" in value ? value.kind : undefined;
  if (kind === "ranks" || kind === "regions" || kind === "service") {
    return kinds[kind];
  }
  return null;
}

type ParsedSection = z.output<(typeof kinds)[keyof typeof kinds]>;

function toContent(section: ParsedSection): SectionContent {
  if (section.kind === "ranks") {
    return { kind: "ranks", ranks: section.ranks };
  }
  if (section.kind === "regions") {
    return { kind: "regions", regions: section.regions };
  }
  return {
    kind: "service",
    service: {
      name: section.service,
      routes: section.routes,
      keys: section.keys === undefined ? null : {
        groups: section.keys.groups,
        slicesPerGroup: section.keys.slices_per_group,
      },
      defaultRank: section.default_rank,
      longestDeadlineMilliseconds: section.longest_deadline,
      queueLength: section.queue_length,
      longestBodyBytes: section.longest_body,
      coldStart: null,
    },
  };
}

function describe(issue: z.core.$ZodIssue): string {
  if (issue.code === "unrecognized_keys") {
    return `has unknown settings: ${issue.keys.join(", ")}`;
  }
  return issue.message;
}

/** The line of the deepest node on the path that exists in the text. */
function lineOf(
  document: Document,
  options: {
    readonly path: readonly PropertyKey[];
    readonly lines: LineCounter;
  },
): number {
  for (let length = options.path.length; length > 0; length -= 1) {
    const path = options.path.slice(0, length);
    const node: unknown = document.getIn(path, true);
    if (typeof node !== "object" || node === null) continue;
    if (!("range" in node) || !Array.isArray(node.range)) continue;
    return options.lines.linePos(Number(node.range[0])).line;
  }
  return 1;
}
