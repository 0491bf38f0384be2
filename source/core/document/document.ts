/**
 * The operators' document: sections, each owned by a team. A changed section is
 * accepted or refused by itself, by whether it is consistent with the sections
 * in force.
 *
 * Invariants:
 * - when a section is refused, its last accepted revision stays in force;
 * - revisions only increase, and an accepted revision never changes;
 * - the sections in force are consistent: every name that one uses is defined
 *   by another section in force.
 *
 * @module
 */
import type { RankPolicy } from "../admission/settings.ts";
import type { RequestLimits, Route } from "../routes/routes.ts";

/** Why a section is refused; shown to its owner. */
export interface SectionFault {
  readonly section: string;
  /**
   * The path inside the section, like `service.groups`; empty for all of it.
   */
  readonly path: string;
  readonly line: number;
  readonly reason: string;
}

/** A rank as operators define it. */
export interface Rank extends RankPolicy {
  readonly defaultDeadlineMilliseconds: number;
}

/** A region and its data centres. */
export interface Region {
  readonly name: string;
  readonly dataCenters: readonly string[];
}

/** How the keys of a service are divided into groups and slices. */
export interface KeyPolicy {
  readonly groups: number;
  readonly slicesPerGroup: number;
}

/** A service as operators define it. */
export interface Service {
  readonly name: string;
  /** Path patterns of its requests; `:key` stands for the key. */
  readonly routes: readonly string[];
  readonly keys: KeyPolicy | null;
  readonly defaultRank: string;
  readonly longestDeadlineMilliseconds: number;
  readonly queueLength: number;
  readonly longestBodyBytes: number;
  /** What its targets take shortly after their start; null for no bound. */
  readonly coldStart: ColdStart | null;
}

/** The load that a target tolerates while it is cold. */
export interface ColdStart {
  /** How long a target is cold after its start. */
  readonly durationMilliseconds: number;
  readonly maxRequestsPerSecond: number;
}

/** The content of a section. */
export type SectionContent =
  | { readonly kind: "ranks"; readonly ranks: readonly Rank[] }
  | { readonly kind: "regions"; readonly regions: readonly Region[] }
  | { readonly kind: "service"; readonly service: Service };

/** A section without syntax faults. */
export interface Section {
  readonly name: string;
  readonly owner: string;
  readonly line: number;
  readonly content: SectionContent;
}

/** A section that was accepted, in force or since removed. */
export interface AcceptedSection {
  readonly name: string;
  readonly owner: string;
  readonly revision: number;
  readonly content: SectionContent;
}

/** The revision of each section in force. */
export interface DocumentIndex {
  readonly revision: number;
  readonly sections: Readonly<Record<string, number>>;
}

/** The accepted sections and the current refusals, as kept in the store. */
export interface Acceptance {
  readonly revision: number;
  /** The store's version of the document that was evaluated last. */
  readonly judgedVersion: string;
  readonly sections: readonly AcceptedSection[];
  readonly refusals: readonly SectionFault[];
}

/** The sections of a document that could be parsed, and the faults found. */
export interface ParsedDocument {
  readonly sections: readonly Section[];
  readonly faults: readonly SectionFault[];
}

/** The configuration of an agent. */
export interface Configuration {
  readonly revision: number;
  readonly ranks: readonly Rank[];
  readonly regions: readonly Region[];
  readonly services: readonly Service[];
  /** Routes by host and path prefix; empty where services define their own. */
  readonly hostRoutes: readonly Route[];
  /** Limits for callers; null where services define their own. */
  readonly limits: RequestLimits | null;
}

/** The state before any document has been accepted. */
export const emptyAcceptance: Acceptance = {
  revision: 0,
  judgedVersion: "",
  sections: [],
  refusals: [],
};

/** The section name in a fault that concerns the whole document. */
export const wholeDocument = "(document)";

/**
 * Evaluates a document section by section. Refused sections keep their accepted
 * revision; a fault of the whole document keeps all that is in force.
 */
export function evaluateDocument(
  current: Acceptance,
  document: ParsedDocument,
  judgedVersion: string,
): Acceptance {
  const unreadable = document.faults.some((fault) =>
    fault.section === wholeDocument
  );
  if (unreadable) {
    return { ...current, judgedVersion, refusals: document.faults };
  }
  const faulty = new Set(document.faults.map((fault) => fault.section));
  const resolved = resolveConflicts(current, { document, faulty });
  return {
    ...assignRevisions(current, resolved.sections),
    judgedVersion,
    refusals: [...document.faults, ...resolved.faults],
  };
}

type Candidate = Omit<AcceptedSection, "revision">;

/** Refuses conflicting sections, one after another, until none conflicts. */
function resolveConflicts(
  current: Acceptance,
  options: {
    readonly document: ParsedDocument;
    readonly faulty: ReadonlySet<string>;
  },
): {
  readonly sections: readonly Candidate[];
  readonly faults: readonly SectionFault[];
} {
  const { document } = options;
  const refused = new Set(options.faulty);
  const faults: SectionFault[] = [];
  for (;;) {
    const sections = candidateSections(current, { document, refused });
    const found = findConflicts(sections, current)
      .filter((conflict) => !refused.has(conflict.section));
    if (found.length === 0) return { sections, faults };
    for (const { section, path, reason } of found) {
      if (refused.has(section)) continue;
      refused.add(section);
      faults.push({ section, path, reason, line: lineOf(document, section) });
    }
  }
}

function lineOf(document: ParsedDocument, name: string): number {
  return document.sections.find((section) => section.name === name)?.line ?? 0;
}

function candidateSections(
  current: Acceptance,
  options: {
    readonly document: ParsedDocument;
    readonly refused: ReadonlySet<string>;
  },
): readonly Candidate[] {
  const { document, refused } = options;
  const offered = document.sections.filter((section) =>
    !refused.has(section.name)
  );
  const kept = current.sections.filter((section) => refused.has(section.name));
  return [...offered, ...kept].map(({ name, owner, content }) => ({
    name,
    owner,
    content,
  }));
}

function assignRevisions(
  current: Acceptance,
  candidates: readonly Candidate[],
): {
  readonly revision: number;
  readonly sections: readonly AcceptedSection[];
} {
  const revision = current.revision + 1;
  const former = new Map(
    current.sections.map((section) => [section.name, section]),
  );
  const sections = candidates.map((candidate): AcceptedSection => {
    const known = former.get(candidate.name);
    const same = known !== undefined && sameSection(known, candidate);
    return same ? known : { ...candidate, revision };
  });
  const changed = sections.length !== current.sections.length ||
    sections.some((section) => section.revision === revision);
  return changed
    ? { revision, sections }
    : { revision: current.revision, sections: current.sections };
}

/** Whether two sections have the same owner and content. */
function sameSection(left: Candidate, right: Candidate): boolean {
  return left.owner === right.owner &&
    JSON.stringify(left.content) === JSON.stringify(right.content);
}

/** A conflict between two sections that can't be in force together. */
interface Conflict {
  readonly section: string;
  readonly path: string;
  readonly reason: string;
  /** The section to refuse instead, when `section` has not changed. */
  readonly other: string;
}

function findConflicts(
  sections: readonly Candidate[],
  current: Acceptance,
): readonly Conflict[] {
  const found = [
    ...repeatedKinds(sections),
    ...repeatedServices(sections),
    ...unknownRanks(sections, current),
    ...changedKeyPolicies(sections, current),
  ];
  return found.map((conflict) =>
    attributeToChanged(conflict, { sections, current })
  );
}

function attributeToChanged(
  conflict: Conflict,
  view: {
    readonly sections: readonly Candidate[];
    readonly current: Acceptance;
  },
): Conflict {
  const byName = (section: Candidate) => section.name === conflict.section;
  const offered = view.sections.find(byName);
  const inForce = view.current.sections.find(byName);
  if (offered === undefined || inForce === undefined) return conflict;
  if (!sameSection(offered, inForce)) return conflict;
  return {
    section: conflict.other,
    path: "",
    reason: `section "${conflict.section}" is in force and needs it: ` +
      conflict.reason,
    other: conflict.section,
  };
}

function repeatedKinds(sections: readonly Candidate[]): readonly Conflict[] {
  return (["ranks", "regions"] as const).flatMap((kind) => {
    const same = sections.filter((section) => section.content.kind === kind);
    const first = same[0]?.name ?? "";
    return same.slice(1).map((section) => ({
      section: section.name,
      path: "kind",
      reason: `only one section may have kind "${kind}", and "${first}" has it`,
      other: first,
    }));
  });
}

function repeatedServices(sections: readonly Candidate[]): readonly Conflict[] {
  const names = new Map<string, string>();
  const routes = new Map<string, string>();
  return sections.flatMap((section): readonly Conflict[] => {
    if (section.content.kind !== "service") return [];
    const { service } = section.content;
    const other = names.get(service.name);
    if (other !== undefined) {
      const reason = `section "${other}" defines a service of this name`;
      return [{ section: section.name, path: "service", reason, other }];
    }
    names.set(service.name, section.name);
    return service.routes.flatMap((route) => {
      const taken = routes.get(route) ?? section.name;
      routes.set(route, taken);
      if (taken === section.name) return [];
      const reason = `section "${taken}" has the route ${route}`;
      return [{ section: section.name, path: "routes", reason, other: taken }];
    });
  });
}

function unknownRanks(
  sections: readonly Candidate[],
  current: Acceptance,
): readonly Conflict[] {
  const ranks = new Set(
    sections.flatMap((section) =>
      section.content.kind === "ranks"
        ? section.content.ranks.map((rank) => rank.name)
        : []
    ),
  );
  const other =
    current.sections.find((section) => section.content.kind === "ranks")
      ?.name ?? "";
  return sections.flatMap((section) => {
    if (section.content.kind !== "service") return [];
    const { defaultRank } = section.content.service;
    if (ranks.has(defaultRank)) return [];
    const reason = `no rank is named "${defaultRank}"`;
    return [{ section: section.name, path: "default_rank", reason, other }];
  });
}

/**
 * With a changed division of keys, a key would have two owners while agents
 * have different revisions.
 */
function changedKeyPolicies(
  sections: readonly Candidate[],
  current: Acceptance,
): readonly Conflict[] {
  const inForce = new Map(
    current.sections.flatMap((section) =>
      section.content.kind === "service"
        ? [[section.content.service.name, section.content.service.keys]]
        : []
    ),
  );
  return sections.flatMap((section) => {
    if (section.content.kind !== "service") return [];
    const { name, keys } = section.content.service;
    const former = inForce.get(name);
    if (former === undefined) return [];
    if (JSON.stringify(former) === JSON.stringify(keys)) return [];
    const reason = "a service's division of keys can't change while it is in " +
      "force; remove the service, wait until that is in force everywhere, " +
      "and add it again";
    return [{
      section: section.name,
      path: "keys",
      reason,
      other: section.name,
    }];
  });
}

/** The index of an acceptance. */
export function indexOf(acceptance: Acceptance): DocumentIndex {
  return {
    revision: acceptance.revision,
    sections: Object.fromEntries(
      acceptance.sections.map((section) => [section.name, section.revision]),
    ),
  };
}

/** Builds a configuration from accepted sections. */
export function configurationOf(
  revision: number,
  sections: readonly AcceptedSection[],
): Configuration {
  const contents = sections.map((section) => section.content);
  return {
    revision,
    ranks: contents.flatMap((content) =>
      content.kind === "ranks" ? content.ranks : []
    ),
    regions: contents.flatMap((content) =>
      content.kind === "regions" ? content.regions : []
    ),
    services: contents.flatMap((content) =>
      content.kind === "service" ? [content.service] : []
    ),
    hostRoutes: [],
    limits: null,
  };
}

/** The configuration before any document has been accepted. */
export const emptyConfiguration: Configuration = configurationOf(0, []);

/** The service with this name; null when the configuration has none. */
export function serviceNamed(
  configuration: Configuration,
  name: string,
): Service | null {
  return configuration.services.find((service) => service.name === name) ??
    null;
}
