/**
 * Assembles the configuration of an agent from its replicated records.
 *
 * Invariant: a revision is applied only when every section that its index
 * lists has arrived, and never after a higher revision.
 *
 * @module
 */
import {
  indexKey,
  recordOf,
  type Replica,
  sectionKey,
  type SharedRecord,
} from "../dissemination/replica.ts";
import {
  type Acceptance,
  type AcceptedSection,
  type Configuration,
  configurationOf,
  indexOf,
} from "./document.ts";

/**
 * The configuration of the replicated index; null when its revision is not
 * above that of `current`, or a section that it lists is missing.
 */
export function assembleConfiguration(
  replica: Replica,
  current: Configuration,
): Configuration | null {
  const index = recordOf(replica, indexKey)?.value;
  if (index?.kind !== "index") return null;
  if (index.index.revision <= current.revision) return null;
  const sections: AcceptedSection[] = [];
  for (const [name, revision] of Object.entries(index.index.sections)) {
    const value = recordOf(replica, sectionKey(name))?.value;
    if (value?.kind !== "section") return null;
    if (value.section.revision !== revision) return null;
    sections.push(value.section);
  }
  return configurationOf(index.index.revision, sections);
}

/** The records that publish an acceptance; none for revision 0. */
export function recordsOfAcceptance(
  acceptance: Acceptance,
): readonly SharedRecord[] {
  if (acceptance.revision === 0) return [];
  const sections = acceptance.sections.map((section): SharedRecord => ({
    key: sectionKey(section.name),
    version: section.revision,
    value: { kind: "section", section },
  }));
  const index: SharedRecord = {
    key: indexKey,
    version: acceptance.revision,
    value: { kind: "index", index: indexOf(acceptance) },
  };
  return [...sections, index];
}
