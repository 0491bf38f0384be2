import assert from "node:assert/strict";
import { once } from "node:events";
import { connect } from "node:net";
import { describe, it } from "node:test";
import { codeOfError, wasUnreachable } from "./connection_errors.ts";

describe("a connection error", () => {
  function error(fields: { readonly code: string; readonly syscall?: string }) {
    return Object.assign(new Error("failed"), fields);
  }

  describe("while connecting", () => {
    for (const code of ["ECONNREFUSED", "EHOSTUNREACH", "ENETUNREACH"]) {
      it(`proves that nothing was sent: ${code}`, () => {
        assert.ok(wasUnreachable(error({ code, syscall: "connect" })));
      });
    }

    it("proves that nothing was sent: connect timeout", () => {
      assert.ok(wasUnreachable(error({ code: "UND_ERR_CONNECT_TIMEOUT" })));
    });
  });

  describe("while connecting to a name with two addresses", () => {
    // Guards against an unknown outcome of a request that was never sent: the
    // aggregate error for several addresses has no `syscall` of its own.
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

  describe("on an established connection", () => {
    // Guards against a 503 for a request that has run: an established
    // connection fails with these codes when its host becomes unreachable.
    for (const code of ["EHOSTUNREACH", "ENETUNREACH"]) {
      for (const syscall of ["read", "write"]) {
        it(`proves nothing: ${code} in ${syscall}`, () => {
          assert.equal(wasUnreachable(error({ code, syscall })), false);
        });
      }
    }
  });
});
