import assert from "node:assert/strict";
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { describe, it } from "node:test";
import { fileURLToPath } from "node:url";

const source = fileURLToPath(new URL("../source", import.meta.url));

/** Names that only the adapter of the users' platform may contain. */
const wireNames = [
  "routeType",
  "weightedClusters",
  "numAttempts",
  'pathPrefix"',
  "coldRemaining",
  "hold_time",
  "storeRevision",
  "deletionRequested",
  "timeout-ms",
  "target-instance",
  "caller-service",
  "response-signature",
  "not-executed",
  "shard-key",
  "server-load",
  "appAddr",
  'GERANIUMLEDGE_NODE_FILE="',
];

function filesIn(folder: string): readonly string[] {
  return readdirSync(folder, { withFileTypes: true }).flatMap((entry) => {
    const path = join(folder, entry.name);
    return entry.isDirectory() ? filesIn(path) : [path];
  });
}

describe("the source folder", () => {
  describe("as independent of the users' platform", () => {
    for (const name of wireNames) {
      it(`does not include ${name}`, () => {
        const matching = filesIn(source).filter((path) =>
          readFileSync(path, "utf8").includes(name)
        );
        assert.deepEqual(matching, []);
      });
    }
  });
});
