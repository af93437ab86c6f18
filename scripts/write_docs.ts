/** Writes docs/result-codes.md and docs/log-events.md from the typed tables. */
import { writeFileSync } from "node:fs";
import { renderEventCatalogue, renderResultCodes } from "./catalogues.ts";

writeFileSync("docs/result-codes.md", renderResultCodes());
writeFileSync("docs/log-events.md", renderEventCatalogue());
