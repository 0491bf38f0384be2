import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { isKnownFailure, parseKnownFailures } from "./known_failures.ts";

const text = `test: a mesh > owner frozen > keeps the promises
failure: brokenAnswers: 1
command: npm test
issue: 4
test: without a failure
issue: 5
`;

describe("the list of known failures", () => {
  const entries = parseKnownFailures(text);

  describe("includes", () => {
    it("a listed test that fails with the listed failure", () => {
      assert.ok(isKnownFailure(entries, {
        path: ["a mesh", "owner frozen", "keeps the promises"],
        message: "expected none, saw brokenAnswers: 1 of 9",
      }));
    });
  });

  describe("does not include", () => {
    it("a listed failure together with an unlisted one", () => {
      assert.ok(
        !isKnownFailure(entries, {
          path: ["a mesh", "owner frozen", "keeps the promises"],
          message: "+ actual - expected\n+   'brokenAnswers: 1\\n' +\n" +
            "+   'doubleOwnership: 1\\n'",
        }),
      );
    });

    it("an unlisted failure of a listed test", () => {
      assert.ok(
        !isKnownFailure(entries, {
          path: ["a mesh", "owner frozen", "keeps the promises"],
          message: "keys served again within 5 s: false",
        }),
      );
    });

    it("a test of the same name in another suite", () => {
      assert.ok(
        !isKnownFailure(entries, {
          path: ["a mesh", "owner killed", "keeps the promises"],
          message: "brokenAnswers: 1",
        }),
      );
    });

    it("a test whose entry names no failure", () => {
      assert.ok(
        !isKnownFailure(entries, {
          path: ["without a failure"],
          message: "anything",
        }),
      );
    });
  });
});
