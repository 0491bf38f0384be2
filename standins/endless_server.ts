/**
 * A server in trouble: what it sends is no answer, or no end of one, and it
 * goes on until its caller closes.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { createServer, type Socket } from "node:net";
import { listen } from "./http_server.ts";

/** Bytes that come without end. */
export interface Endless {
  /** Sent once, before the rest. */
  readonly first: string;
  /** Sent again and again. */
  readonly then: string;
  /** Between two times, in milliseconds; 0 for as fast as they are taken. */
  readonly everyMilliseconds: number;
}

/** A running server. */
export interface EndlessServer {
  readonly address: string;
  /** What it sends from the next request on. */
  send(bytes: Endless): void;
  /** Connections that it sends on, since their callers have not closed. */
  sending(): number;
  close(): void;
}

const head = "HTTP/1.1 200 OK\r\nResponse-Signature: genuine\r\n";
const chunked = `${head}Transfer-Encoding: chunked\r\n\r\n`;
const pieceBytes = 16_384;
const filler = "x".repeat(pieceBytes);
const hexadecimal = pieceBytes.toString(16);

function flood(first: string, then: string): Endless {
  const times = Math.ceil(pieceBytes / then.length);
  return { first, then: then.repeat(times), everyMilliseconds: 0 };
}

function trickle(first: string): Endless {
  return { first, then: "x", everyMilliseconds: 1_000 };
}

/** Answers whose head does not end. */
export const endlessHeads: Readonly<Record<string, Endless>> = {
  "no HTTP at all": flood("", "this is no answer "),
  "a status line": flood("HTTP/1.1 200 ", "x"),
  "a header field": flood(`${head}X-More: `, "x"),
  "header fields": flood(head, "X-More: x\r\n"),
  "informational answers": flood("", "HTTP/1.1 102 Processing\r\n\r\n"),
  "a header field, a byte a second": trickle(`${head}X-More: `),
};

/** Answers whose body does not end. */
export const endlessBodies: Readonly<Record<string, Endless>> = {
  "chunks": flood(chunked, `${hexadecimal}\r\n${filler}\r\n`),
  "a chunk's size": flood(chunked, "0"),
  "a chunk's extension": flood(`${chunked}1;extension=`, "x"),
  "trailer fields": flood(`${chunked}0\r\n`, "X-More: x\r\n"),
  "a body without a length": flood(`${head}\r\n`, "x"),
  "a body of a huge length": flood(
    `${head}Content-Length: 1000000000000\r\n\r\n`,
    "x",
  ),
  "a body, a byte a second": trickle(`${head}Content-Length: 100\r\n\r\n`),
};

/** A whole answer, and bytes behind it that belong to none. */
export const endlessRest: Endless = flood(
  `${head}Content-Length: 4\r\n\r\nwell`,
  "x",
);

/** Starts a server that answers each request so. */
export async function startEndlessServer(): Promise<EndlessServer> {
  let bytes: Endless = endlessRest;
  const sockets = new Set<Socket>();
  const sending = new Set<Socket>();

  function play(socket: Socket, { first, then, everyMilliseconds }: Endless) {
    const piece = Buffer.from(then, "latin1");
    const goOn = () => {
      if (socket.destroyed) return;
      const taken = socket.write(piece);
      if (everyMilliseconds > 0) setTimeout(goOn, everyMilliseconds);
      else if (taken) setImmediate(goOn);
      else socket.once("drain", goOn);
    };
    sending.add(socket);
    socket.write(Buffer.from(first, "latin1"));
    goOn();
  }

  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on("close", () => {
      sockets.delete(socket);
      sending.delete(socket);
    });
    socket.on("error", () => undefined);
    socket.once("data", () => play(socket, bytes));
    socket.resume();
  });
  const port = await listen(server, 0);
  return {
    address: `127.0.0.1:${port}`,
    send(next) {
      bytes = next;
    },
    sending: () => sending.size,
    close() {
      server.close();
      for (const socket of sockets) socket.destroy();
    },
  };
}
