/**
 * The operators' document: sections, each owned by a team, each judged by
 * itself against those that are in force.
 *
 * Invariants:
 * - a section that is refused leaves its last good revision in force;
 * - revisions only grow, and an accepted revision never changes;
 * - what is in force together is consistent: every name that a section uses is
 *   defined by another section in force.
 *
 * @module
 */
import type { RankPolicy } from "../admission/admission.ts";
import type { RequestLimits, Route } from "../routes/routes.ts";

/** Why a section can't be accepted, for its owner to read. */
export interface SectionFault {
  readonly section: string;
  /** The path inside the section, as `service.groups`; empty for all of it. */
  readonly path: string;
  readonly line: number;
  readonly reason: string;
}

/** A rank of work as operators state it. */
export interface Rank extends RankPolicy {
  readonly defaultDeadlineMilliseconds: number;
}

/** A region and its data centres. */
export interface Region {
  readonly name: string;
  readonly dataCenters: readonly string[];
}

/** How a service divides its keys. */
export interface KeyPolicy {
  readonly groups: number;
  readonly slicesPerGroup: number;
}

/** A service as operators state it. */
export interface Service {
  readonly name: string;
  /** Path patterns of its requests; `:key` stands where a key does. */
  readonly routes: readonly string[];
  readonly keys: KeyPolicy | null;
  readonly defaultRank: string;
  readonly longestDeadlineMilliseconds: number;
  readonly queueLength: number;
  readonly longestBodyBytes: number;
}

/** What a section says. */
export type SectionContent =
  | { readonly kind: "ranks"; readonly ranks: readonly Rank[] }
  | { readonly kind: "regions"; readonly regions: readonly Region[] }
  | { readonly kind: "service"; readonly service: Service };

/** A section that could be read. */
export interface Section {
  readonly name: string;
  readonly owner: string;
  readonly line: number;
  readonly content: SectionContent;
}

/** A section in force, or once in force and since removed. */
export interface AcceptedSection {
  readonly name: string;
  readonly owner: string;
  readonly revision: number;
  readonly content: SectionContent;
}

/** Which revision of each section is in force. */
export interface DocumentIndex {
  readonly revision: number;
  readonly sections: Readonly<Record<string, number>>;
}

/** What the store keeps of all that has been accepted. */
export interface Acceptance {
  readonly revision: number;
  /** The store's version of the document that was judged last. */
  readonly judgedVersion: string;
  readonly sections: readonly AcceptedSection[];
  readonly refusals: readonly SectionFault[];
}

/** The text of a document, read as far as it could be. */
export interface ReadDocument {
  readonly sections: readonly Section[];
  readonly faults: readonly SectionFault[];
}

/** What an agent routes by. */
export interface Configuration {
  readonly revision: number;
  readonly ranks: readonly Rank[];
  readonly regions: readonly Region[];
  readonly services: readonly Service[];
  /** Routes by host and path prefix; none where services state their own. */
  readonly hostRoutes: readonly Route[];
  /** What callers may send; null where services state it by themselves. */
  readonly limits: RequestLimits | null;
}

/** Before anything has been accepted. */
export const nothingAccepted: Acceptance = {
  revision: 0,
  judgedVersion: "",
  sections: [],
  refusals: [],
};

/** The name of a fault that concerns the document rather than a section. */
export const wholeDocument = "(document)";

/** Judges a document section by section against what is in force. */
export function judge(
  current: Acceptance,
  document: ReadDocument,
  judgedVersion: string,
): Acceptance {
  const unreadable = document.faults.some((fault) =>
    fault.section === wholeDocument
  );
  if (unreadable) {
    return { ...current, judgedVersion, refusals: document.faults };
  }
  const faulty = new Set(document.faults.map((fault) => fault.section));
  const settled = settle(current, { document, faulty });
  return {
    ...numbered(current, settled.sections),
    judgedVersion,
    refusals: [...document.faults, ...settled.faults],
  };
}

type Candidate = Omit<AcceptedSection, "revision">;

/** Takes refused sections back to what is in force until all fit together. */
function settle(
  current: Acceptance,
  options: {
    readonly document: ReadDocument;
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
    const sections = assemble(current, { document, refused });
    const found = conflicts(sections, current)
      .filter((conflict) => !refused.has(conflict.section));
    if (found.length === 0) return { sections, faults };
    for (const { section, path, reason } of found) {
      if (refused.has(section)) continue;
      refused.add(section);
      faults.push({ section, path, reason, line: lineOf(document, section) });
    }
  }
}

function lineOf(document: ReadDocument, name: string): number {
  return document.sections.find((section) => section.name === name)?.line ?? 0;
}

function assemble(
  current: Acceptance,
  options: {
    readonly document: ReadDocument;
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

function numbered(
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

/** Whether two sections say the same, whoever wrote them. */
function sameSection(left: Candidate, right: Candidate): boolean {
  return left.owner === right.owner &&
    JSON.stringify(left.content) === JSON.stringify(right.content);
}

/** Two sections that can't be in force together. */
interface Conflict {
  readonly section: string;
  readonly path: string;
  readonly reason: string;
  /** The section to refuse instead, when `section` has not changed. */
  readonly other: string;
}

function conflicts(
  sections: readonly Candidate[],
  current: Acceptance,
): readonly Conflict[] {
  const found = [
    ...repeatedKinds(sections),
    ...repeatedServices(sections),
    ...unknownRanks(sections, current),
    ...changedKeys(sections, current),
  ];
  return found.map((conflict) =>
    blameTheChanged(conflict, { sections, current })
  );
}

function blameTheChanged(
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

/** Keys divided in another way would have two owners while agents differ. */
function changedKeys(
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

/** The index that stands for an acceptance. */
export function indexOf(acceptance: Acceptance): DocumentIndex {
  return {
    revision: acceptance.revision,
    sections: Object.fromEntries(
      acceptance.sections.map((section) => [section.name, section.revision]),
    ),
  };
}

/** The configuration made of these sections. */
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

/** The configuration before any document was accepted. */
export const emptyConfiguration: Configuration = configurationOf(0, []);

/** The service of this name; null when the configuration has none. */
export function serviceNamed(
  configuration: Configuration,
  name: string,
): Service | null {
  return configuration.services.find((service) => service.name === name) ??
    null;
}
