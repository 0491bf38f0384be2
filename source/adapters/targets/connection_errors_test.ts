import assert from "node:assert/strict";
import { once } from "node:events";
import { connect } from "node:net";
import { describe, it } from "node:test";
import { codeOfError, wasUnreachable } from "./connection_errors.ts";

describe("an error of a connection", () => {
  function error(fields: { readonly code: string; readonly syscall?: string }) {
    return Object.assign(new Error("failed"), fields);
  }

  describe("in opening it", () => {
    for (const code of ["ECONNREFUSED", "EHOSTUNREACH", "ENETUNREACH"]) {
      it(`proves that nothing was sent: ${code}`, () => {
        assert.ok(wasUnreachable(error({ code, syscall: "connect" })));
      });
    }

    it("proves it when there was no word in time", () => {
      assert.ok(wasUnreachable(error({ code: "UND_ERR_CONNECT_TIMEOUT" })));
    });
  });

  describe("in opening it to a name with two addresses", () => {
    // Guards against an unknown outcome of what was never sent: an error that
    // joins those of several addresses bears no call of its own.
    it("proves that nothing was sent when all refuse", async () => {
      const socket = connect({
        host: "two.example",
        port: 1,
        autoSelectFamily: true,
        lookup: (_host, _options, callback) =>
          callback(null, [
            { address: "127.0.0.1", family: 4 },
            { address: "127.0.0.2", family: 4 },
          ]),
      });
      const [failure] = await once(socket, "error").catch((e) => [e]);
      assert.equal(codeOfError(failure), "ECONNREFUSED");
      assert.ok(wasUnreachable(failure));
    });
  });

  describe("once it stands", () => {
    // Guards against a 503 for what has run: a connection on which a request
    // was sent ends so when its host can no longer be reached.
    for (const code of ["EHOSTUNREACH", "ENETUNREACH"]) {
      for (const syscall of ["read", "write"]) {
        it(`proves nothing: ${code} in ${syscall}`, () => {
          assert.equal(wasUnreachable(error({ code, syscall })), false);
        });
      }
    }
  });
});
