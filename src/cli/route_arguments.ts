import { isIP } from "node:net";
import { type Either, Left, Right } from "purify-ts";
import type { DryRunQuery } from "../core/gateway/dry_run.ts";
import {
  type AdapterName,
  brandString,
  type OrganisationName,
} from "../core/ids.ts";
import { type Refusal, refuse } from "../core/results/refusal.ts";

/** Arguments of `goldcrestwinch route` as given. */
export type RouteArguments = {
  readonly node?: string | undefined;
  readonly host?: string | undefined;
  readonly path?: string | undefined;
  readonly method?: string | undefined;
  readonly model?: string | undefined;
  readonly tokens?: string | undefined;
  readonly organisation?: string | undefined;
};

/** Node to ask, and what to ask it. */
export type RouteQuestion = {
  readonly node: string;
  readonly method: string;
  readonly query: DryRunQuery;
};

const maxPort = 65_535;
const defaultMethod = "POST";
const methodPattern = /^[A-Za-z]+$/;
const tokensPattern = /^(\d{1,9}),(\d{1,9})$/;

/** Parses the arguments; the refusal names the first invalid one and its form. */
export function parseRouteArguments(
  args: RouteArguments,
): Either<Refusal, RouteQuestion> {
  const { node = "", host = "", path = "", organisation } = args;
  const { method = defaultMethod } = args;
  if (!isAddress(node)) return reject("node", "give it as IP:PORT");
  if (host === "") return reject("host", "give the host name of the request");
  if (!path.startsWith("/")) return reject("path", "begin it with a slash");
  if (!methodPattern.test(method))
    return reject("method", "give an HTTP method");
  if (organisation === "") return reject("organisation", "give its name");
  return parseDemand(args).map((demand) => ({
    node,
    method: method.toUpperCase(),
    query: {
      host: host.toLowerCase().replace(/:\d+$/, ""),
      path: path.replace(/[?#].*$/, ""),
      organisation: organisation
        ? brandString<OrganisationName>(organisation)
        : undefined,
      demand,
    },
  }));
}

function parseDemand({
  model: place,
  tokens = "0,0",
}: RouteArguments): Either<Refusal, DryRunQuery["demand"]> {
  const counts = tokensPattern.exec(tokens);
  if (counts === null)
    return reject("tokens", "give prompt and answer tokens as IN,OUT");
  if (place === undefined) {
    return tokens === "0,0"
      ? Right(undefined)
      : reject("tokens", "name the model with --model as well");
  }
  const [, model, adapter] = /^([^/]+)(?:\/(.+))?$/.exec(place) ?? [];
  if (model === undefined || (adapter === undefined && place.includes("/")))
    return reject("model", "give it as MODEL or MODEL/ADAPTER");
  const demand: DryRunQuery["demand"] = {
    model: brandString(model),
    adapter:
      adapter === undefined ? undefined : brandString<AdapterName>(adapter),
    promptTokens: Number(counts[1]),
    answerTokens: Number(counts[2]),
  };
  return Right(demand);
}

function reject<Value>(field: string, form: string): Either<Refusal, Value> {
  return Left(refuse("invalidArgument", `--${field}: ${form}`));
}

function isAddress(text: string): boolean {
  const separator = text.lastIndexOf(":");
  const address = text.slice(0, separator).replace(/^\[(.*)\]$/, "$1");
  const port = text.slice(separator + 1);
  if (isIP(address) === 0 || !/^\d+$/.test(port)) return false;
  return Number(port) >= 1 && Number(port) <= maxPort;
}
