import { type Either, Left, Right } from "purify-ts";
import { type Clock, type Millis, millis } from "../core/clock.ts";
import type { ModelResolution } from "../core/config/catalog.ts";
import type { AdapterKey, Digest, RequestId } from "../core/ids.ts";
import type {
  DraftHistory,
  DraftTarget,
} from "../core/requests/draft_messages.ts";
import { type Refusal, refuse } from "../core/results/refusal.ts";
import type { AnswerSink } from "../ports/access.ts";
import { endedStream } from "../ports/engine.ts";
import type {
  DraftControl,
  DraftInput,
  EncodedDraft,
} from "../ports/front_end.ts";
import type { Journal, Meter } from "../ports/journal.ts";
import {
  type AttemptObserver,
  type DraftCall,
  DraftRequest,
} from "./draft_request.ts";
import type { EngineDirectory } from "./engine_directory.ts";
import type { RoutingManager } from "./routing_manager.ts";

/** Whether content is suspected or known to crash engines. */
export type Suspicion = "none" | "suspect" | "convicted";

/** Options of the draft manager. */
export type DraftManagerOptions = {
  readonly clock: Clock;
  readonly random: () => number;
  readonly journal: Journal;
  readonly meter: Meter;
  readonly directory: EngineDirectory;
  readonly routes: RoutingManager;
  readonly resolveModel: (model: string) => ModelResolution;
  readonly findSuspicion: (digest: Digest) => Suspicion;
  /** Called for each admitted request, so that placement can measure demand. */
  readonly onDemand: (adapter: AdapterKey) => void;
};

const poisonDetail = "This content crashed engines twice";

/** Runs the draft requests that callers send to this entry node. */
export class DraftManager {
  readonly #options: DraftManagerOptions;
  readonly #requests = new Map<RequestId, DraftRequest>();
  #onIdle: (() => void) | undefined;

  static create(options: DraftManagerOptions): DraftManager {
    return new DraftManager(options);
  }

  private constructor(options: DraftManagerOptions) {
    this.#options = options;
  }

  /** Number of requests in progress. */
  get open(): number {
    return this.#requests.size;
  }

  /** Starts a draft; the sink may receive a refusal before this returns. */
  start(input: DraftInput, sink: AnswerSink): DraftControl {
    const refuseInput = (refusal: Refusal): DraftControl => {
      this.#recordRefusal(input.requestId, refusal);
      sink.onRefusal(refusal);
      return endedStream;
    };
    return this.#resolve(input).caseOf<DraftControl>({
      Left: refuseInput,
      Right: ({ key, draft }) => {
        const suspicion = this.#options.findSuspicion(draft.digest);
        if (suspicion === "convicted") {
          return refuseInput(
            refuse("poisonRequest", poisonDetail, {
              outcome: "not-run",
            }),
          );
        }
        const call = this.#createCall(input, { key, draft });
        return this.#run({ ...call, isolated: suspicion === "suspect" }, sink);
      },
    });
  }

  /** Resolves when no request is in progress. */
  waitIdle(): Promise<void> {
    if (this.open === 0) return Promise.resolve();
    return new Promise((resolve) => {
      this.#onIdle = resolve;
    });
  }

  /** Refuses all requests in progress. */
  giveUp(): void {
    for (const request of [...this.#requests.values()]) request.giveUp();
  }

  #resolve(
    input: DraftInput,
  ): Either<Refusal, { key: AdapterKey; draft: EncodedDraft }> {
    if (this.#requests.has(input.requestId)) {
      return Left(
        refuse(
          "badHeader",
          `Request id "${input.requestId}" is already in use; send a new one`,
        ),
      );
    }
    const resolution = this.#options.resolveModel(input.model);
    switch (resolution.kind) {
      case "unknown-adapter":
        return Left(
          refuse("unknownAdapter", `Adapter "${input.model}" is not known`),
        );
      case "unknown-version":
        return Left(
          refuse("unknownVersion", `Version of "${input.model}" is not known`),
        );
      case "found":
        return Right({
          key: resolution.key,
          draft: input.encode(resolution.key),
        });
    }
  }

  #createCall(
    input: DraftInput,
    target: { key: AdapterKey; draft: EncodedDraft },
  ): DraftCall {
    const now = this.#options.clock.now();
    const { key, draft } = target;
    return {
      path: input.path,
      body: draft.body,
      isolated: false,
      work: {
        requestId: input.requestId,
        adapter: key,
        customer: input.customer,
        priority: input.priority,
        expectedTokens: input.expectedTokens,
        arrivedAt: now,
        deadlineAt: millis(now + input.deadline),
        digest: draft.digest,
        prefix: draft.prefix,
      },
    };
  }

  #run(call: DraftCall, sink: AnswerSink): DraftControl {
    const { clock, journal, directory, random, routes, onDemand } =
      this.#options;
    const { requestId, adapter, arrivedAt } = call.work;
    routes.deposit(call.work.expectedTokens);
    onDemand(adapter);
    journal.record("requestAdmitted", { requestId, adapter });
    let ended = false;
    const request = DraftRequest.create({
      call,
      clock,
      journal,
      access: directory,
      sink: this.#observe(call, { sink, arrivedAt }),
      policies: {
        random,
        takeRetry: () => routes.takeRetry(),
        choose: (history) => this.#choose(call.work, history),
        hedge: (history, waited) =>
          routes.hedge(call.work, { history, waited }),
      },
      observer: this.#observeAttempts(call.work),
      onClose: () => {
        ended = true;
        this.#close(requestId);
      },
    });
    if (!ended) this.#requests.set(requestId, request);
    return request;
  }

  #choose(
    work: DraftCall["work"],
    history: DraftHistory,
  ): Either<Refusal, DraftTarget> {
    const { findSuspicion, routes } = this.#options;
    if (findSuspicion(work.digest) === "convicted") {
      return Left(refuse("poisonRequest", poisonDetail));
    }
    return routes.choose(work, history);
  }

  #observeAttempts(work: DraftCall["work"]): AttemptObserver {
    const { meter, routes } = this.#options;
    const observer = routes.observe(work);
    return {
      ...observer,
      onSubmit: (engine, expectedWait) => {
        meter.count("attempts_total");
        observer.onSubmit(engine, expectedWait);
      },
    };
  }

  /** Wraps the sink so that metrics and timeline entries are recorded as well. */
  #observe(
    call: DraftCall,
    context: { sink: AnswerSink; arrivedAt: Millis },
  ): AnswerSink {
    const { sink, arrivedAt } = context;
    const { clock, journal, meter } = this.#options;
    const { requestId, adapter } = call.work;
    let tokens = 0;
    return {
      onChunk: (bytes, count) => {
        if (tokens === 0) {
          meter.observe("first_token_ms", clock.now() - arrivedAt);
        }
        tokens += count;
        sink.onChunk(bytes, count);
      },
      onEnd: () => {
        meter.count("requests_total", { kind: "draft", code: "ok" });
        meter.count("tokens_total", {}, tokens);
        journal.record("requestFinished", { requestId, adapter, tokens });
        sink.onEnd();
      },
      onRefusal: (refusal) => {
        meter.count("tokens_total", {}, tokens);
        this.#recordRefusal(requestId, refusal);
        sink.onRefusal(refusal);
      },
    };
  }

  #recordRefusal(requestId: RequestId, refusal: Refusal): void {
    const { journal, meter } = this.#options;
    const { code, outcome, detail } = refusal;
    meter.count("requests_total", { kind: "draft", code });
    const event = outcome === "not-run" ? "requestRefused" : "requestFailed";
    journal.record(event, { requestId, code, outcome, detail });
  }

  #close(requestId: RequestId): void {
    this.#requests.delete(requestId);
    if (this.open === 0) this.#onIdle?.();
  }
}
