import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { describe, it } from "node:test";
import fc from "fast-check";
import {
  type Acceptance,
  emptyAcceptance,
  evaluateDocument,
} from "../../core/document/document.ts";
import { readDocument } from "./yaml_document.ts";
import { mergeSections } from "./yaml_sections.ts";

function example(name: string): string {
  return readFileSync(
    new URL(`../../../examples/${name}.yaml`, import.meta.url),
    "utf8",
  );
}

const studios = example("studios");

function accept(current: Acceptance, text: string): Acceptance {
  return evaluateDocument(current, readDocument(text), "1");
}

describe("the document", () => {
  describe("reading", () => {
    it("finds no fault in the examples", () => {
      assert.deepEqual(readDocument(studios).faults, []);
      assert.deepEqual(readDocument(example("works")).faults, []);
    });

    it("reports the section, path and line of each fault", () => {
      const text = studios
        .replace("longest_deadline: 1s", "longest_deadline: soon")
        .replace("slices_per_group: 128", "slices: 128");
      const lineOf = (part: string) =>
        text.slice(0, text.indexOf(part)).split("\n").length;
      assert.deepEqual(
        readDocument(text).faults.map((fault) => [
          fault.section,
          fault.path,
          fault.line,
        ]),
        [
          ["timetable", "keys.slices_per_group", lineOf("keys:")],
          ["timetable", "keys", lineOf("keys:")],
          ["timetable", "longest_deadline", lineOf("soon")],
        ],
      );
    });

    it("refuses duplicate section names", () => {
      const faults = readDocument(studios + "  media: {}\n").faults;
      assert.equal(faults.length, 1);
    });

    it("never throws, whatever the text", () => {
      const cut = fc.integer({ min: 0, max: studios.length }).chain((from) =>
        fc.tuple(fc.constant(from), fc.string({ maxLength: 30 })).map((
          [from, text],
        ) => studios.slice(0, from) + text + studios.slice(from + 20))
      );
      fc.assert(
        fc.property(fc.oneof(fc.string(), cut), (text) => {
          const { sections, faults } = readDocument(text);
          assert.ok(sections.length + faults.length >= 0);
        }),
        { numRuns: 1_000, seed: 1 },
      );
    });
  });

  describe("acceptance", () => {
    const first = accept(emptyAcceptance, studios);

    it("keeps the last valid revision of a refused section", () => {
      const next = accept(first, studios.replace("2GB", "huge"));
      assert.equal(next.revision, first.revision);
      assert.deepEqual(next.sections, first.sections);
      assert.equal(next.refusals[0]?.section, "media");
    });

    it("accepts valid sections together with an invalid one", () => {
      const text = studios.replace("2GB", "huge").replace("2s }", "9s }")
        .replace("longest_deadline: 2s", "longest_deadline: 3s");
      const next = accept(first, text);
      const booking = next.sections.find((one) => one.name === "booking");
      assert.equal(booking?.revision, 2);
    });

    it("refuses to remove a rank that a service in force uses", () => {
      const text = studios.replace(/ +- \{ name: upload.*\n/, "");
      const next = accept(first, text);
      assert.equal(next.refusals[0]?.section, "ranks");
      assert.equal(next.revision, first.revision);
    });

    it("refuses to change the number of groups of a service", () => {
      const next = accept(first, studios.replace("groups: 1", "groups: 2"));
      assert.equal(next.refusals[0]?.section, "timetable");
    });

    it("is consistent and monotonic for any order of edits", () => {
      const edits = [
        ["share: 0.2", "share: 0.3"],
        ["default_rank: view", "default_rank: nobody"],
        ["name: view", "name: look"],
        ["2GB", "huge"],
        ["/booking", "/media"],
        ["kind: regions", "kind: ranks"],
        ["longest_deadline: 2s", "longest_deadline: 4s"],
      ] as const;
      fc.assert(
        fc.property(
          fc.array(fc.subarray([...edits]), { maxLength: 8 }),
          (steps) => {
            let current = first;
            for (const step of steps) {
              const text = step.reduce(
                (text, [from, to]) => text.replaceAll(from, to),
                studios,
              );
              const next = accept(current, text);
              assert.ok(next.revision >= current.revision);
              assertConsistent(next);
              current = next;
            }
          },
        ),
        { numRuns: 300, seed: 2 },
      );
    });
  });

  describe("merging", () => {
    const ours = studios.replace("2GB", "3GB");
    const theirs = studios.replace("share: 0.2", "share: 0.3");

    it("keeps another team's edit of another section", () => {
      const merged = mergeSections({
        current: theirs,
        edited: ours,
        base: studios,
        section: null,
      });
      assert.ok(merged.isOk);
      const { sections } = accept(emptyAcceptance, merged.value);
      const text = JSON.stringify(sections);
      assert.ok(text.includes("0.3") && text.includes("3000000000"));
    });

    it("reports a section that both edits changed as a conflict", () => {
      const merged = mergeSections({
        current: studios.replace("2GB", "4GB"),
        edited: ours,
        base: studios,
        section: null,
      });
      assert.ok(merged.isErr && merged.error.includes("media"));
    });
  });
});

function assertConsistent(acceptance: Acceptance): void {
  const ranks = acceptance.sections.flatMap(({ content }) =>
    content.kind === "ranks" ? content.ranks.map((rank) => rank.name) : []
  );
  for (const { content } of acceptance.sections) {
    if (content.kind !== "service") continue;
    assert.ok(ranks.includes(content.service.defaultRank));
  }
}
