import { randomBytes } from "node:crypto";
import { type Agent, request } from "node:http";
import { headers } from "../../platform/wire_names.ts";

/** One request of a caller. */
export type Call = {
  readonly port: number;
  readonly host?: string;
  readonly path: string;
  readonly method?: string;
  readonly body?: string;
  /** How long the caller waits, in ms. */
  readonly deadline?: number;
  readonly headers?: Readonly<Record<string, string>>;
  /** Connections to reuse; a connection of its own without. */
  readonly agent?: Agent;
  /** Id of the request; a new one without. */
  readonly requestId?: string;
};

/** How a request ended for its caller. */
export type CallEnd = {
  readonly requestId: string;
  /** Status of the answer; 0 without one. */
  readonly status: number;
  readonly text: string;
  /** Whether the answer ended as complete. */
  readonly isWhole: boolean;
  /** Value of `Retry-After`, in s. */
  readonly retryAfter: number | undefined;
};

const defaultDeadline = 10_000;

/** Id of a new request. */
export function createRequestId(): string {
  return randomBytes(8).toString("hex");
}

/** Sends a request; resolves however it ends. */
export function sendCall(call: Call): Promise<CallEnd> {
  const { deadline = defaultDeadline, body = "" } = call;
  const { requestId = createRequestId() } = call;
  return new Promise((resolve) => {
    let status = 0;
    let text = "";
    let retryAfter: number | undefined;
    const finish = (isWhole: boolean) =>
      resolve({ requestId, status, text, isWhole, retryAfter });
    const sent = request(
      {
        host: "127.0.0.1",
        port: call.port,
        path: call.path,
        method: call.method ?? "POST",
        agent: call.agent ?? false,
        headers: {
          host: call.host ?? "desk.example",
          "content-length": String(Buffer.byteLength(body)),
          [headers.requestId]: requestId,
          "goldcrestwinch-deadline-ms": String(deadline),
          ...call.headers,
        },
      },
      (response) => {
        status = response.statusCode ?? 0;
        const after = response.headers["retry-after"];
        if (after !== undefined) retryAfter = Number(after);
        response.on("data", (chunk) => {
          text += chunk;
        });
        response.on("error", () => finish(false));
        response.on("end", () => finish(response.complete));
      },
    );
    const timer = setTimeout(() => sent.destroy(), deadline);
    sent.on("close", () => clearTimeout(timer));
    sent.on("error", () => finish(false));
    sent.end(body);
  });
}

/** Headers of a request to a language model; no two have the same last part. */
export function describePrompt(
  model: string,
  sharedParts: readonly string[] = ["aa"],
): Record<string, string> {
  const part = randomBytes(4).toString("hex");
  const parts = [...sharedParts.map((id) => `${id}:93`), `${part}:398`];
  return {
    "goldcrestwinch-model": model,
    "goldcrestwinch-token-count": "491,70",
    "goldcrestwinch-prompt-prefix": parts.join(","),
  };
}

/** Software versions that the events of a stream name. */
export function findVersions(text: string): ReadonlySet<string> {
  const names = [...text.matchAll(/ by (\S+)\n/g)];
  return new Set(names.map(([, version]) => version as string));
}
