/** Writes the reference pages and the dashboard that are generated from the catalogues. */
import { writeFileSync } from "node:fs";
import {
  renderDashboard,
  renderEventCatalogue,
  renderMetrics,
  renderResultCodes,
} from "./catalogues.ts";

writeFileSync("docs/result-codes.md", renderResultCodes());
writeFileSync("docs/log-events.md", renderEventCatalogue());
writeFileSync("docs/metrics.md", renderMetrics());
writeFileSync("docs/grafana.json", renderDashboard());
