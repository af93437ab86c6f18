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
  booking_calls_total: "Booking calls by kind: lookup, once or keyed",
  booking_calls_rejected_total: "Booking calls refused at the in-flight limit",
  booking_extra_sends_total: "Retries and hedges of booking calls",
  booking_extra_sends_denied_total: "Retries and hedges beyond their budget",
  booking_answers_not_kept_total: "Answers too long to keep with the outcome",
  claim_transactions_total: "Table transactions of the claim writer",
  claim_rows_total: "Claims and outcomes in these transactions",
  claim_transaction_ms: "Time of these transactions, in ms",
  claim_writes_ambiguous_total: "Transactions whose answer was lost",
  claim_queue_rejected_total: "Claims refused because the queue was full",
  claims_swept_total: "Claim rows removed after the retention",
  broken_streams_total: "Streams that ended without their explicit end",
};
