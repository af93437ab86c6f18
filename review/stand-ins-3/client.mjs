// Stand-in for a client (PROTOCOL.md, "Requests").
import { request as send } from "node:http";

/** Sends one request on a connection of its own; resolves to what came back. */
export function call({ host, port, path, id, method = "POST", body = method === "GET" ? undefined : "one chain set", deadline = 3000, headers = {}, domain = "desk.example", timeout = deadline + 500, record }) {
  const sentAt = performance.now();
  record?.write(`client sends ${id}: ${method} ${path}`);
  return new Promise((resolve) => {
    const done = (result) => {
      const what = result.status === undefined ? `no answer (${result.error})` : `${result.status}, ${result.isWhole ? "complete" : `not complete (${result.error})`}, ${result.body.length} bytes`;
      record?.write(`client gets for ${id}: ${what}, after ${Math.round(performance.now() - sentAt)} ms`);
      resolve(result);
    };
    const result = { id, status: undefined, body: "", isWhole: false, error: undefined };
    const request = send(
      {
        host, port, path, method, agent: false,
        headers: {
          host: domain, "goldcrestwinch-request-id": id, "goldcrestwinch-deadline-ms": String(deadline),
          ...(body !== undefined && { "content-length": Buffer.byteLength(body) }), ...headers,
        },
      },
      (response) => {
        result.status = response.statusCode;
        result.headers = response.headers;
        response.on("data", (chunk) => (result.body += chunk));
        response.on("aborted", () => (result.error = "cut in the answer"));
        response.on("close", () => {
          result.isWhole = response.complete && result.error === undefined;
          clearTimeout(timer);
          done(result);
        });
        response.on("error", () => {});
      },
    );
    const timer = setTimeout(() => request.destroy(new Error("deadline")), timeout);
    request.on("error", (error) => {
      clearTimeout(timer);
      result.error ??= error.code ?? error.message;
      if (result.status === undefined) done(result);
    });
    request.end(body);
  });
}
