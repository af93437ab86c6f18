import { headers } from "../../platform/wire_names.ts";
import type { Serve } from "../rig/backend.ts";
import type { CallEnd } from "../rig/caller.ts";
import type { OperatorConfiguration } from "../rig/installation.ts";
import { type Calm, contactTime } from "./calm.ts";
import type { Violation } from "./observations.ts";
import type { RequestLog } from "./request_log.ts";

/** Time in which a changed key must count on every machine, in ms. */
const applyTime = 4_000;
/** Time before a change in which a request may still be on its way to a machine, in ms. */
const wayTime = 1_000;
/** Share of the requests that carry the key which comes and goes. */
const changingShare = 0.15;

type CallerKey = { readonly key: string; readonly organisation: string };

const northKey = { key: "north-key-1", organisation: "north" };
const southKey = { key: "south-key-1", organisation: "south" };
/** Key that is taken away and given back. */
const changingKey = { key: "south-key-2", organisation: "south" };

/** When the changing key was given or taken away. */
type Change = { readonly at: number; readonly isValid: boolean };

/** Requests of callers of two organisations, one key of which is taken away and given back. */
export class CallerKeys {
  readonly #random: () => number;
  readonly #calm: Calm;
  readonly #sent = new Map<string, CallerKey>();
  readonly #violations: Violation[] = [];
  readonly #changes: Change[] = [{ at: -Infinity, isValid: true }];
  /** Requests with the changing key that a server has run. */
  readonly #run = new Set<string>();

  private constructor(random: () => number, calm: Calm) {
    this.#random = random;
    this.#calm = calm;
  }

  static create(random: () => number, calm: Calm): CallerKeys {
    return new CallerKeys(random, calm);
  }

  /** Headers of a request whose key does not change. */
  static readonly probeHeaders = { [headers.apiKey]: northKey.key };

  get isChangingKeyValid(): boolean {
    return this.#lastChange.isValid;
  }

  get #lastChange(): Change {
    return this.#changes.at(-1) as Change;
  }

  /** Adds the organisations with their present keys to a configuration. */
  configure(content: OperatorConfiguration): OperatorConfiguration {
    const south = [southKey, ...(this.isChangingKeyValid ? [changingKey] : [])];
    return {
      ...content,
      Tenants: [
        { Name: northKey.organisation, ApiKeys: [northKey.key] },
        { Name: southKey.organisation, ApiKeys: south.map(({ key }) => key) },
      ],
    };
  }

  /** Gives or takes away the changing key; the next configuration says so. */
  change(isValid: boolean): void {
    this.#changes.push({ at: performance.now(), isValid });
  }

  /** Chooses a key for a request; its caller names another organisation as well. */
  sign(requestId: string): Record<string, string> {
    const key = this.#choose();
    this.#sent.set(requestId, key);
    return { [headers.apiKey]: key.key, [headers.organisation]: "invented" };
  }

  #choose(): CallerKey {
    const share = this.#random();
    if (share < changingShare) return changingKey;
    return share < (1 + changingShare) / 2 ? northKey : southKey;
  }

  /** Checks what a server is told of each request that it runs. */
  observe(serve: Serve): Serve {
    return (exchange) => {
      const { requestId, message } = exchange;
      const sent = this.#sent.get(requestId);
      const told = message.headers[headers.organisation];
      if (sent !== undefined && told !== sent.organisation) {
        const detail = `${requestId} of ${sent.organisation}: ${told}`;
        this.#violations.push({ rule: "told another organisation", detail });
      }
      if (message.headers[headers.apiKey] !== undefined)
        this.#violations.push({ rule: "key passed on", detail: requestId });
      if (sent === changingKey) this.#run.add(requestId);
      serve(exchange);
    };
  }

  /** Records the answer to a request. */
  recordEnd({ requestId, status, text }: CallEnd): void {
    const sent = this.#sent.get(requestId);
    if (status !== 401 || sent === undefined || sent === changingKey) return;
    const detail = `${requestId} of ${sent.organisation}: ${text}`;
    this.#violations.push({ rule: "known key refused", detail });
  }

  findViolations(requests: RequestLog): Violation[] {
    const late = requests.ends
      .filter(({ requestId }) => this.#sent.get(requestId) === changingKey)
      .flatMap(({ requestId, machine, sentAt, status }) => {
        const isValid = this.#findState(machine, sentAt);
        const detail = `${requestId} at ${machine}, sent ${Math.round(sentAt)}`;
        if (isValid === false && this.#run.has(requestId))
          return [{ rule: "run under a removed key", detail }];
        if (isValid === true && status === 401)
          return [{ rule: "returned key refused", detail }];
        return [];
      });
    return [...this.#violations, ...late];
  }

  /** Whether the changing key must count at a machine; undefined while it may be either way. */
  #findState(machine: string, sentAt: number): boolean | undefined {
    const at = this.#changes.findLastIndex((change) => change.at <= sentAt);
    const change = this.#changes[at] as Change;
    const next = this.#changes[at + 1]?.at ?? Infinity;
    if (sentAt < change.at + applyTime || sentAt + wayTime > next)
      return undefined;
    const from = Math.max(change.at, 0) + contactTime;
    const isCalm = this.#calm.hasLasted([machine, "store"], from, sentAt);
    return isCalm ? change.isValid : undefined;
  }
}
