import {
  formatRequestDigest,
  type RequestContent,
} from "../../../core/poison/units.ts";
import type { ProxiedRequest } from "../../../ports/gateway.ts";
import { digestContent } from "../../content_digest.ts";

/** What of a request may crash servers; a request that comes again has the same method, host, target and body. */
export function describeContent(request: ProxiedRequest): RequestContent {
  const { method, host, target, body, demand } = request;
  const hash = digestContent([method, host, target], body);
  return {
    parts: demand?.sharedParts ?? [],
    request: formatRequestDigest(hash),
  };
}
