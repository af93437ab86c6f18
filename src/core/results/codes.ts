import { engineCodes } from "./engine_codes.ts";
import { requestCodes } from "./request_codes.ts";
import { serviceCodes } from "./service_codes.ts";

/** All result codes by name. */
export const resultCodes = {
  ...requestCodes,
  ...engineCodes,
  ...serviceCodes,
} as const;

/** Name of a result code. */
export type ResultCodeName = keyof typeof resultCodes;
