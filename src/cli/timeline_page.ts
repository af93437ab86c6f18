import type { TimelineEntry } from "../ports/operators.ts";
import { formatFields } from "./format_fields.ts";

const style = `
body { font: 13px system-ui, sans-serif; margin: 1rem; color: #222; }
table { border-collapse: collapse; width: 100%; }
th, td { text-align: left; padding: 2px 8px; border-bottom: 1px solid #ddd; vertical-align: top; }
th { position: sticky; top: 0; background: #f4f4f4; }
input { width: 24rem; padding: 4px; margin-bottom: 8px; }
.node { border-left: 4px solid; white-space: nowrap; }
`;

const script = `
const input = document.querySelector("input");
input.addEventListener("input", () => {
  const words = input.value.toLowerCase().split(" ");
  for (const row of document.querySelectorAll("tbody tr")) {
    const text = row.textContent.toLowerCase();
    row.hidden = !words.every((word) => text.includes(word));
  }
});
`;

/** Renders a self-contained HTML page with a filter over the events. */
export function renderTimelinePage(entries: readonly TimelineEntry[]): string {
  const nodes = [...new Set(entries.map((entry) => entry.node))];
  const rows = entries.map((entry) =>
    renderRow(entry, selectHue(nodes.indexOf(entry.node), nodes.length)),
  );
  return `<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>goldcrestwinch timeline</title>
<style>${style}</style></head><body>
<h1>Timeline</h1>
<p>${entries.length} events of ${nodes.length} nodes, in the order of their hybrid logical clocks.</p>
<input placeholder="Filter: words separated by spaces" aria-label="Filter">
<table><thead><tr><th>Time</th><th>Node</th><th>Event</th><th>Fields</th></tr></thead>
<tbody>
${rows.join("\n")}
</tbody></table>
<script>${script}</script></body></html>
`;
}

function renderRow(entry: TimelineEntry, hue: number): string {
  const fields = formatFields(entry.fields);
  const time = `${new Date(entry.time.wall).toISOString()} +${entry.time.counter}`;
  return `<tr><td>${time}</td><td class="node" style="border-color: hsl(${hue} 70% 45%)">${escapeHtml(entry.node)}</td><td>${entry.number} ${entry.event}</td><td>${escapeHtml(fields)}</td></tr>`;
}

function selectHue(index: number, count: number): number {
  return Math.round((360 * index) / Math.max(1, count));
}

function escapeHtml(text: string): string {
  return text
    .replaceAll("&", "&amp;")
    .replaceAll("<", "&lt;")
    .replaceAll('"', "&quot;");
}
