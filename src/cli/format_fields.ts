/** Formats the fields of an event as `name=value` pairs separated by spaces. */
export function formatFields(
  fields: Readonly<Record<string, unknown>>,
): string {
  return Object.entries(fields)
    .filter(([, value]) => value !== undefined)
    .map(([name, value]) => `${name}=${value}`)
    .join(" ");
}
