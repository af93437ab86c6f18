/** Text of a request; `isComplete` false leaves out its body of four bytes. */
export function formatRequest(
  requestId: string,
  path: string,
  { deadline = 10_000, isComplete = true } = {},
): string {
  const head = [
    `POST ${path} HTTP/1.1`,
    "Host: desk.example",
    `Goldcrestwinch-Request-Id: ${requestId}`,
    `Goldcrestwinch-Deadline-Ms: ${deadline}`,
    "Content-Length: 4",
  ];
  return `${head.join("\r\n")}\r\n\r\n${isComplete ? "body" : ""}`;
}
