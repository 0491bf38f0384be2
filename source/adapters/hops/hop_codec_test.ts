/** Tests of the encoding of messages on links. */
import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { describe, it } from "node:test";
import { notRun } from "../../core/request/outcome.ts";
import type { Headers } from "../../ports/upstream.ts";
import { createDecoder, createEncoder } from "./hop_codec.ts";
import type {
  ClientMessage,
  RequestMessage,
  ServerMessage,
} from "./hop_messages.ts";

const kinds: ReadonlySet<ClientMessage["kind"] | ServerMessage["kind"]> =
  new Set(["request", "cancel", "answer", "failure"]);

const usualHeaders: Headers = {
  "user-agent": "sdk-client/1.9.3",
  accept: "*/*",
  "accept-encoding": "identity",
  cookie: "lang=en; session=28e1",
  "x-origin": "booking",
};

function request(sequence: number, headers: Headers): RequestMessage {
  const id = `id-${sequence}`;
  return {
    kind: "request",
    hop: {
      sender: "host-1/mswmwl2g/link",
      receiver: "host-2/mswmwl2h",
      sequence,
      copy: 1,
      settledBelow: sequence,
    },
    clock: sequence,
    departure: { process: "host-1/mswmwl2g", at: 20_436 },
    request: {
      id,
      method: "GET",
      path: `/slots/${sequence}`,
      authority: "studio.example",
      headers: { ...headers, "request-id": id },
      service: "timetable",
      key: "46730",
      rank: 2,
      idempotent: true,
      account: "booking",
    },
    deadlineMilliseconds: 1_816,
    objectiveMilliseconds: 451,
  };
}

function answer(headers: Headers): ServerMessage {
  const hop = { sequence: 3, copy: 2 };
  const load = { load: 4, slowness: 1.5 };
  return { kind: "answer", hop, clock: 9, status: 200, headers, ...load };
}

/** Sends messages over a link, and returns what its other end decodes. */
function transmit(
  messages: readonly (ClientMessage | ServerMessage)[],
): readonly unknown[] {
  const encode = createEncoder();
  const decode = createDecoder<ClientMessage | ServerMessage>(kinds);
  return messages.map((message) => {
    const received = decode(Buffer.from(encode(message, Buffer.from("body"))));
    assert.equal(Buffer.from(received?.bytes ?? []).toString(), "body");
    return received?.message;
  });
}

describe("messages on a link", () => {
  describe("that are encoded and decoded", () => {
    // Guards against tables of repeated strings that differ between the ends,
    // so that a request arrives with another request's fields.
    it("arrive as they were sent, however often fields repeat", () => {
      const messages: readonly (ClientMessage | ServerMessage)[] = [
        request(1, usualHeaders),
        request(2, usualHeaders),
        request(3, { ...usualHeaders, cookie: "lang=mn" }),
        request(4, { "x-long": "a".repeat(10_000), via: ["one", "two"] }),
        request(5, { ...usualHeaders, "x-long": "b" }),
        { ...request(6, {}), departure: null, objectiveMilliseconds: null },
        { kind: "cancel", hop: request(6, {}).hop },
        answer({ "content-type": "text/plain", "x-load": "1,0,4,100" }),
        answer({ "content-type": "text/plain", "x-load": "2,0,4,100" }),
        {
          kind: "failure",
          hop: { sequence: 7, copy: 1 },
          clock: 10,
          failure: notRun("queue-full", 40),
        },
      ];
      assert.deepEqual(transmit(messages), messages);
    });

    // Guards against header fields that are lost because an object has a
    // property of that name, and against a table that grows with each name.
    it("keep odd header names, and more names than a table has", () => {
      const names = Array.from({ length: 600 }, (_, index) => `x-${index}`);
      const many = Object.fromEntries(names.map((name) => [name, name]));
      const odd = Object.fromEntries([["__proto__", "1"], ["toString", "2"]]);
      const messages = [request(1, odd), request(2, many), request(3, many)]
        .concat(request(4, odd));
      assert.deepEqual(transmit(messages), messages);
    });
  });

  describe("of which each is like the one before", () => {
    // Guards against heads that repeat on links between regions what the other
    // agent knows already.
    it("repeat no name and no value that stayed the same", () => {
      const encode = createEncoder();
      encode(request(1, usualHeaders));
      const text = Buffer.from(encode(request(2, usualHeaders))).toString();
      const { hop, request: { service, authority } } = request(2, {});
      const same = Object.entries(usualHeaders).flat()
        .concat(hop.sender, hop.receiver, service, authority);
      assert.deepEqual(same.filter((part) => text.includes(String(part))), []);
    });
  });

  describe("that are malformed", () => {
    const heads = [
      "null",
      '["request"]',
      '["request",[1,1],[],{}]',
      '["request",[1,1,1,0,0],[1,null,null,5,null],[]]',
      '["answer",[1,1],[200,null,null,[7,0]],1]',
      '["answer",["1",1],[200,null,null,[]],1]',
      '["answer",[1,1],[200,null,null,[]],"1"]',
      '["failure",[1,1],null,1]',
      '["other",[1,1],[],[]]',
    ];
    for (const head of heads) {
      // Guards against a process that ends because of another agent's message.
      it(`are not decoded: ${head}`, () => {
        const frame = Buffer.alloc(4 + head.length);
        frame.writeUInt32BE(head.length, 0);
        frame.write(head, 4);
        assert.equal(
          createDecoder<ClientMessage | ServerMessage>(kinds)(frame),
          null,
        );
      });
    }
  });
});
