import type { Millis } from "../clock.ts";
import type {
  AdapterName,
  DataCentre,
  ModelName,
  OrganisationName,
  Revision,
  ServerId,
  ServiceName,
} from "../ids.ts";
import type { ResultCodeName } from "../results/codes.ts";
import { type Refusal, refuse } from "../results/refusal.ts";
import type { GatewayRoute } from "./configuration.ts";
import type { ExpectedWait } from "./expected_wait.ts";
import type { Organisation, OrganisationDirectory } from "./organisations.ts";

/** Request whose way through the node is to be described. */
export type DryRunQuery = {
  /** Host name in lower case, without a port. */
  readonly host: string;
  readonly path: string;
  readonly organisation?: OrganisationName | undefined;
  /** Undefined for a service without models. */
  readonly demand?:
    | {
        readonly model: ModelName;
        readonly adapter?: AdapterName | undefined;
        readonly promptTokens: number;
        readonly answerTokens: number;
      }
    | undefined;
};

/** Why a server takes no request of this node now. */
export type ServerObstacle =
  | "leaving"
  | "lacks-model"
  | "suspended"
  | "paused"
  | "no-room"
  | "limited";

/** What a server has of the adapter that a request names. */
export type AdapterState = "not-needed" | "held" | "loading" | "load-needed";

/** A server as a request would find it now. */
export type ServerOutlook = {
  readonly server: ServerId;
  readonly dataCentre: DataCentre;
  /** Undefined if the server takes the request. */
  readonly obstacle?: ServerObstacle | undefined;
  readonly wait: ExpectedWait;
  readonly adapter: AdapterState;
};

/** Why a request would wait at the node. */
export type WaitReason =
  | "queue"
  | "model-load"
  | "no-server"
  | "servers-paused";

/** What would happen to a request. */
export type DryRunVerdict =
  | {
      readonly kind: "sent";
      readonly server: ServerId;
      /** The owner of the engine is asked for the adapter first, and may name another engine. */
      readonly asksOwner: boolean;
      /** Other nodes are asked for credit first; the request is refused if they have none. */
      readonly asksCredit: boolean;
    }
  | { readonly kind: "waits"; readonly reason: WaitReason }
  /** The node reaches no server and passes requests on to another node. */
  | { readonly kind: "passed-on" }
  | {
      readonly kind: "refused";
      readonly code: ResultCodeName;
      readonly detail: string;
    };

/** A service of the route as a request would find it now. */
export type ServiceOutlook = {
  readonly service: ServiceName;
  /** Part of the requests of the route that the service gets, 0 to 1. */
  readonly share: number;
  readonly servers: readonly ServerOutlook[];
  readonly verdict: DryRunVerdict;
};

/** The part of a request in the quota of its organisation. */
export type CreditOutlook = {
  /** Units that the request would take. */
  readonly units: number;
  /** Units that the node could take from at once. */
  readonly left: number;
  /** `short` if the node would first ask others for credit. */
  readonly state: "sufficient" | "short" | "used-up";
};

/** Where a request would go now. */
export type DryRun =
  | {
      readonly kind: "refused";
      readonly code: ResultCodeName;
      readonly detail: string;
    }
  | {
      readonly kind: "routed";
      readonly revision: Revision;
      readonly route: string;
      readonly priority: number;
      readonly organisation?: OrganisationName | undefined;
      /** Undefined without a quota. */
      readonly credit?: CreditOutlook | undefined;
      readonly services: readonly ServiceOutlook[];
    };

/** Describes a refusal as a part of a dry run. */
export function describeRefusal({ code, detail }: Refusal) {
  return { kind: "refused", code, detail } as const;
}

/** Finds an organisation by its name, since a dry run carries no key; undefined if the request has none and needs none. */
export function findNamedOrganisation(
  organisations: OrganisationDirectory | undefined,
  route: GatewayRoute,
  name: OrganisationName | undefined,
): Organisation | Refusal | undefined {
  if (organisations === undefined) return undefined;
  const organisation =
    name === undefined ? undefined : organisations.byName.get(name);
  if (organisation !== undefined || route.isPublic) return organisation;
  const detail =
    name === undefined
      ? "The route needs a key; name its organisation"
      : `The configuration has no organisation ${name}`;
  return refuse("unknownKey", detail);
}

/** Lists the services of a route that get requests, with their shares. */
export function listShares({
  targets,
}: Pick<GatewayRoute, "targets">): Pick<ServiceOutlook, "service" | "share">[] {
  const weighted = targets.filter(({ weight }) => weight > 0);
  const total = weighted.reduce((sum, { weight }) => sum + weight, 0);
  return weighted.map(({ service, weight }) => ({
    service,
    share: weight / total,
  }));
}

/** What decides what happens to a request, in the order in which the node asks. */
export type VerdictFacts = {
  /** Refusal of a node that stops. */
  readonly stopRefusal: Refusal | undefined;
  readonly credit: CreditOutlook | undefined;
  readonly reachesNoServer: boolean;
  /** Whether more urgent requests wait for the same servers. */
  readonly isBehindOthers: boolean;
  readonly selected:
    | {
        readonly server: ServerId;
        readonly asksOwner: boolean;
        /** Refusal if no server is expected to begin the request before its deadline. */
        readonly lateRefusal: Refusal | undefined;
      }
    | undefined;
  /** Whether an engine that can take requests holds the model, or will. */
  readonly model: "held" | "loadable" | "not-offered";
  /** Earliest time at which a paused server takes requests again. */
  readonly resumesAt: Millis | undefined;
  /** Time until which the request would wait for a server. */
  readonly waitEnd: Millis;
};

/** Decides what would happen to a request. */
export function judgeDryRun(facts: VerdictFacts): DryRunVerdict {
  if (facts.stopRefusal !== undefined)
    return describeRefusal(facts.stopRefusal);
  if (facts.credit?.state === "used-up") {
    const detail = "The quota of the organisation is used up";
    return { kind: "refused", code: "quotaExceeded", detail };
  }
  if (facts.reachesNoServer) return { kind: "passed-on" };
  if (facts.isBehindOthers) return { kind: "waits", reason: "queue" };
  const { selected } = facts;
  if (selected === undefined) return judgeWithoutServer(facts);
  const { lateRefusal, server, asksOwner } = selected;
  if (lateRefusal !== undefined) return describeRefusal(lateRefusal);
  const asksCredit = facts.credit?.state === "short";
  return { kind: "sent", server, asksOwner, asksCredit };
}

function judgeWithoutServer({
  model,
  resumesAt,
  waitEnd,
}: VerdictFacts): DryRunVerdict {
  if (model === "not-offered") {
    const detail = "The service does not offer the model";
    return { kind: "refused", code: "adapterNotInTime", detail };
  }
  if (model === "loadable") return { kind: "waits", reason: "model-load" };
  if (resumesAt === undefined) return { kind: "waits", reason: "no-server" };
  if (resumesAt < waitEnd) return { kind: "waits", reason: "servers-paused" };
  const detail = "Every server that can take the request is paused or limited";
  return { kind: "refused", code: "serversPaused", detail };
}
