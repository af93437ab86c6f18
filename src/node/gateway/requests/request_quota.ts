import { countUnits } from "../../../core/gateway/quota_terms.ts";
import { type Refusal, refuse } from "../../../core/results/refusal.ts";
import type { ProxiedRequest } from "../../../ports/gateway.ts";
import type { ServiceQuotas, TakenCredit } from "../../../ports/quotas.ts";
import type { RequestPlan } from "./request_intake.ts";
import type { RequestLog } from "./request_log.ts";

type RequestQuotaOptions = {
  readonly quotas: ServiceQuotas;
  readonly now: () => number;
  readonly request: Pick<ProxiedRequest, "tokens" | "relayed">;
  readonly plan: Pick<RequestPlan, "organisation">;
  readonly log: Pick<RequestLog, "record">;
};

/** The part of one request in the quota of its organisation. */
export class RequestQuota {
  readonly #options: RequestQuotaOptions;
  #credit: TakenCredit | undefined;
  #hasEnded = false;

  private constructor(options: RequestQuotaOptions) {
    this.#options = options;
  }

  static create(options: RequestQuotaOptions): RequestQuota {
    return new RequestQuota(options);
  }

  /** Whether the request counts here; the node that has passed it on has counted it. */
  get isNeeded(): boolean {
    const { plan, request } = this.#options;
    return (
      plan.organisation?.quota !== undefined && request.relayed === undefined
    );
  }

  /** Whether the credit was taken so long ago that it must be taken again before the request is sent. */
  get isExpired(): boolean {
    return (
      this.#credit !== undefined && this.#options.now() > this.#credit.until
    );
  }

  /** Takes the credit of the request; a refusal if the quota is used up. */
  async take(): Promise<Refusal | undefined> {
    const { quotas, plan, request, log } = this.#options;
    const { organisation } = plan;
    if (organisation?.quota === undefined) return undefined;
    this.#giveBack();
    const units = countUnits(organisation.quota, request.tokens);
    const result = await quotas.take(organisation, units);
    if (result.kind === "taken") {
      this.#credit = result.credit;
      // The caller may have left meanwhile.
      if (this.#hasEnded) this.#giveBack();
      return undefined;
    }
    const { name } = organisation;
    log.record("quotaExceeded", { organisation: name, units });
    const detail = `The quota of ${name} is used up`;
    return refuse("quotaExceeded", detail, { retryAfter: result.retryIn });
  }

  /** Gives the credit back unless the request may have run. */
  end(mayHaveRun: boolean): void {
    this.#hasEnded = true;
    if (!mayHaveRun) this.#giveBack();
    this.#credit = undefined;
  }

  #giveBack(): void {
    const { organisation } = this.#options.plan;
    if (this.#credit === undefined || organisation === undefined) return;
    this.#options.quotas.giveBack(organisation, this.#credit);
    this.#credit = undefined;
  }
}
