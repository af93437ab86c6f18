/** Writes the pages and the dashboard that follow from typed tables. */
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
