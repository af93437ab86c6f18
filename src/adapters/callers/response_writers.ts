import type { ServerResponse } from "node:http";
import { millis } from "../../core/clock.ts";
import type { RequestId } from "../../core/ids.ts";
import type { AnswerSink } from "../../ports/access.ts";
import type { DraftControl } from "../../ports/front_end.ts";
import { formatRefusal, writeRefusal } from "../http/responses.ts";
import { StallWatch } from "../http/stall_watch.ts";

/** How long the connection of a caller may take nothing of its answer, in ms. */
const stallLimit = millis(15_000);
const endMarker = "data: [DONE]\n\n";

/** Sink that writes the answer of a draft call to its HTTP response. */
export type ResponseWriter = {
  readonly sink: AnswerSink;
  /** Sets the control of the draft, which is only known after the draft was opened. */
  attach(control: DraftControl): void;
};

/** Forwards server-sent events as they arrive; a slow reader pauses only its own stream. */
export function createStreamWriter(
  response: ServerResponse,
  requestId: RequestId,
): ResponseWriter {
  let control: DraftControl | undefined;
  const stalls = watchStalls(response);
  response.on("drain", () => control?.resume());
  return {
    attach(draftControl) {
      control = draftControl;
    },
    sink: {
      onChunk(bytes) {
        startStream(response, requestId);
        if (response.write(bytes)) return;
        control?.pause();
        stalls.check();
      },
      onEnd() {
        startStream(response, requestId);
        response.end(endMarker);
        stalls.check();
      },
      onRefusal(refusal) {
        if (!response.headersSent) {
          writeRefusal(response, refusal, requestId);
          return;
        }
        const error = JSON.stringify(formatRefusal(refusal, requestId));
        response.end(`data: ${error}\n\n`);
      },
    },
  };
}

/** Closes the connection of a caller that takes nothing of its answer; its draft is cancelled with it. */
function watchStalls(response: ServerResponse): StallWatch {
  const onStall = () => void response.destroy();
  return StallWatch.create(response, { limit: stallLimit, onStall });
}

function startStream(response: ServerResponse, requestId: RequestId): void {
  if (response.headersSent) return;
  response.writeHead(200, {
    "content-type": "text/event-stream",
    "cache-control": "no-cache",
    "x-request-id": requestId,
    "x-outcome": "ran",
  });
}

type Chunk = {
  id?: string;
  created?: number;
  model?: string;
  choices?: {
    text?: string;
    delta?: { content?: string };
    finish_reason?: string | null;
  }[];
};

/** Maximum size of an answer that is buffered for a call without streaming, in bytes. */
const maxCollectedBytes = 8 * 1024 * 1024;

/** Buffers the events of an answer and writes one JSON object at the end. */
export function createCollectingWriter(
  response: ServerResponse,
  options: { requestId: RequestId; kind: "chat" | "completion" },
): ResponseWriter {
  const { requestId, kind } = options;
  const chunks: Uint8Array[] = [];
  const stalls = watchStalls(response);
  let size = 0;
  let control: DraftControl | undefined;
  return {
    attach(draftControl) {
      control = draftControl;
    },
    sink: {
      onChunk(bytes) {
        size += bytes.length;
        if (size <= maxCollectedBytes) chunks.push(bytes);
        else control?.cancel();
      },
      onEnd() {
        const body = assembleCompletion(
          Buffer.concat(chunks).toString("utf8"),
          kind,
        );
        const content = Buffer.from(`${JSON.stringify(body)}\n`);
        response.writeHead(200, {
          "content-type": "application/json",
          "content-length": content.length,
          "x-request-id": requestId,
          "x-outcome": "ran",
        });
        response.end(content);
        stalls.check();
      },
      onRefusal(refusal) {
        writeRefusal(response, refusal, requestId);
      },
    },
  };
}

/** Builds one completion object from the text of all events. */
export function assembleCompletion(text: string, kind: "chat" | "completion") {
  const events = text
    .split("\n\n")
    .filter((event) => event.startsWith("data: {"))
    .map((event) => JSON.parse(event.slice("data: ".length)) as Chunk);
  const content = events
    .map((event) => {
      const choice = event.choices?.[0];
      return choice?.text ?? choice?.delta?.content ?? "";
    })
    .join("");
  const last = events.at(-1);
  const finish = last?.choices?.[0]?.finish_reason ?? "stop";
  const choice =
    kind === "chat"
      ? { message: { role: "assistant", content } }
      : { text: content };
  return {
    id: last?.id,
    object: kind === "chat" ? "chat.completion" : "text_completion",
    created: last?.created,
    model: last?.model,
    choices: [{ index: 0, ...choice, finish_reason: finish }],
    usage: { completion_tokens: events.length },
  };
}
