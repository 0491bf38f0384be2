/**
 * The least that a forwarding hop can cost with the same libraries: a server
 * and a connection pool, without any decision. Run as a process of its own.
 *
 * @module
 */
import { createServer } from "node:http";
import process from "node:process";
import { Pool } from "undici";

const [port = "0", target = ""] = process.argv.slice(2);
const pool = new Pool(`http://${target}`, { connections: 64 });

createServer((message, response) => {
  void pool.request({
    method: message.method as "GET",
    path: message.url ?? "/",
    headers: { "x-request-id": message.headers["x-request-id"] ?? "" },
  }).then((answer) => {
    response.writeHead(answer.statusCode, answer.headers);
    answer.body.pipe(response);
  });
}).listen(Number(port), "127.0.0.1");
