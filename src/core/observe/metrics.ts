/** Help texts of the metrics, without the common prefix of their names. */
export const metricCatalogue: Readonly<Record<string, string>> = {
  requests_total: "Requests by kind and result code",
  first_token_ms: "Time to the first stream event at the entry node, in ms",
  tokens_total: "Stream events passed on to callers",
  attempts_total: "Attempts of draft requests at engines",
  in_flight: "Requests in flight at this node",
  refused_connections_total: "Connections closed at the listener limit",
  signature_rejected_total: "Messages refused for their signature, by listener",
  crossed_answers_total:
    "Answers dropped because their request id did not match",
  broken_streams_total: "Streams that ended without their explicit end",
};
