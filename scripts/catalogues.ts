import { eventCatalogue } from "../src/core/observe/events.ts";
import { resultCodes } from "../src/core/results/codes.ts";

/** Page of the result codes. */
export function renderResultCodes(): string {
  const rows = Object.entries(resultCodes).map(
    ([name, code]) =>
      `| ${code.number} | \`${name}\` | ${code.status} | \`${code.outcome}\` | ${code.meaning} | ${code.remedy} |`,
  );
  return `# Result codes

Written by \`npm run docs\` from \`src/core/results/codes.ts\`. A refusal carries the number in \`error.code\`, the name in \`error.type\`, and whether the request ran in \`error.outcome\` and the header \`x-outcome\`; the outcome below applies unless the answer states a more exact one.

| number | name | HTTP status | outcome | meaning | remedy |
| --- | --- | --- | --- | --- | --- |
${rows.join("\n")}
`;
}

/** Page of the log events. */
export function renderEventCatalogue(): string {
  const rows = Object.entries(eventCatalogue).map(
    ([name, event]) =>
      `| ${event.number} | \`${name}\` | ${event.level} | ${event.meaning} |`,
  );
  return `# Log and timeline events

Written by \`npm run docs\` from \`src/core/observe/events.ts\`. Log lines are JSON on standard error with the fields \`event\` (number), \`name\`, \`node\`, and where they apply \`requestId\`, \`engine\`, \`adapter\`. The timeline holds the same events.

| number | name | level | meaning |
| --- | --- | --- | --- |
${rows.join("\n")}
`;
}
