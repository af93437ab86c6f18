/** Help texts of the metrics, without the common prefix of their names. */
export const metricCatalogue = {
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
  claim_rows_total: "Claims and outcomes in the claim writer's transactions",
  claim_transaction_ms: "Time of the claim writer's transactions, in ms",
  claim_writes_ambiguous_total:
    "Transactions of the claim writer whose answer was lost",
  claim_queue_rejected_total: "Claims refused because the queue was full",
  claims_swept_total: "Claim rows removed after the retention",
  broken_streams_total: "Streams that ended without an explicit end",
  duplicate_request_ids_total:
    "Requests refused because their id is open at the owner",
  endpoint_rejected_total:
    "Calls refused because all connections to a server were in use",
  endpoint_renewed_total:
    "Times that the idle connections to a server were replaced after one was silent",
  endpoint_skipped_total:
    "Connections to a server closed because it sent bytes that are no answer",
  engine_crossed_answers_total:
    "Answers of engines dropped because they carried another request id",
  engine_wrong_adapters_total:
    "Answers of engines dropped because they named another adapter version",
  service_crossed_answers_total:
    "Answers of booking services dropped because they carried another request id",
  table_calls_refused_total:
    "Table calls that failed at once because of an outage or a spent budget",
  load_budget_row_invalid_total: "Reads of a malformed load budget row",
  load_permits_expired_total: "Granted load permits that were not used in time",
  load_requests_dropped_total:
    "Requests for load permits refused at the queue limit",
  poison_records_dropped_total:
    "Records of crashing content dropped at the limit",
  poison_writes_given_up_total:
    "Rows of crashing content that could not be written",
  session_transactions_total: "Table transactions of the session lease",
  session_reads_total: "Rows read for session lease and ownership",
  session_scans_total: "Searches for sessions of dead nodes",
  config_revision: "Configuration revision in force",
  config_head_reads_total: "Reads of the head row of the configuration",
  config_fetch_failures_total:
    "Configurations that could not be fetched, by kind",
  gossip_bytes_total:
    "Bytes of datagrams, with IP and UDP headers, by direction",
  gossip_datagrams_total: "Datagrams by direction",
  gossip_refused_total: "Datagrams refused, by reason",
  gossip_send_errors_total: "Datagrams that could not be sent",
  gossip_socket_errors_total: "Errors of the datagram socket",
  gossip_items_too_large_total: "Items left out because they exceed a datagram",
  gossip_entries_refused_total:
    "Published values refused at the limit of one node",
  gossip_members_refused_total: "Members refused at the limit",
  gossip_refutations_total: "Suspicions of this node that it refuted",
  gossip_sync_deferred_total: "Comparisons deferred by the traffic limit",
  gossip_tag_collisions_total:
    "Members left out because their tag is already taken",
  gateway_requests_total: "Requests passed on, by route rule and outcome",
  gateway_sends_total: "Attempts at servers, by result",
  gateway_refusals_without_id_total:
    "Refusals of servers that did not carry the request's id; each closes its connection",
  gateway_answers_paused_total:
    "Times that the reading of an answer was paused because its caller took no more",
  gateway_answers_stalled_total:
    "Answers ended because their callers did not take them in time",
  gateway_answers_without_room_total:
    "Answers cut off because all buffered answers together exceeded their limit",
  brittle_rejections_total:
    "Requests that servers rejected while they say that they are brittle",
  gateway_callers_rejected_total:
    "Requests refused since their keys belong to no organisation, by result code",
  gateway_relays_total:
    "Requests passed on to another node while this one reaches no server, by how that ended",
  gateway_requests_held_back_total:
    "Requests that waited before they were sent until the events of a standstill were handled, by whether their callers had left",
  process_stall_ms:
    "Time for which the process handled no event, in ms; only times above 250 ms",
  gateway_bodies_stalled_total:
    "Requests refused because nothing of their bodies arrived for too long",
  callers_turned_away_total:
    "Connections of callers closed, by reason: silent, idle, body, full or ahead",
  gateway_bodies_without_room_total:
    "Requests refused because all request bodies together exceeded their limit",
  gateway_answer_ms: "Time from arrival to the end of the answer, in ms",
  gateway_first_byte_ms: "Time from arrival to the first byte, in ms",
  gateway_connect_ms:
    "Time from sending a request until it starts on a connection, in ms",
  gateway_adapter_wait_ms: "Time that requests waited for an adapter, in ms",
  gateway_owner_calls_saved_total:
    "Requests for adapters that were not sent to the owner of their engine, by reason: refused before, or joined to one in progress",
  gateway_repeats_total:
    "Retries taken from the shared retry budget, by service",
  gateway_repeats_denied_total:
    "Retries refused by the shared retry budget, by service",
  retry_slack_share:
    "Part of the slack of the retry budget that this node may use, from 0 to 1",
  retry_slack_nodes: "Nodes by which the slack of the retry budget is divided",
  quota_part: "Part of the quotas that this node earns, from 0 to 1",
  quota_credit: "Units of its quota left at this node, by organisation",
  quota_units_total:
    "Units that requests took from the quota, were refused or gave back, by organisation and result",
  quota_credit_moved_total:
    "Units that this node lent to the pool of its data centre or borrowed from it, by organisation and direction",
  gateway_queue_wait_ms:
    "Time that requests waited in the queue for a server until they were sent or ended, by priority, in ms",
  gateway_queue_length:
    "Requests that wait in the queue for a server, by service",
  gateway_refusals_total: "Requests refused, by result code and priority",
  server_pauses_total:
    "Answers of servers that ask for a pause, by form of the value",
  server_notices_ignored_total:
    "Answers of servers with an unknown value of the header that says that they leave",
  server_slowness:
    "Time that an engine of this node takes relative to the mean of its service, as all nodes measured it, by server",
  pace_reports_total:
    "Reports of this node to the owners of engines on the pace that it measured",
  gateway_sends_by_place_total:
    "Attempts at servers by service and place: data-centre, region or other-region",
  server_overloads_total:
    "Publications of this node that a server without models has more requests than slots, or no longer, by state",
  server_limits_total:
    "Answers of servers that name a limit, by form of the value",
  server_permits_total:
    "Requests of this node for permits to send to servers with a limit, by result",
  gateway_requests_open: "Requests that this node is serving",
  engine_orders_total: "Orders to engines, by operation and answer",
  store_calls_total: "Calls to the platform's store, by call and result",
  entries_unreadable_total:
    "Changes of entries of the platform's store that cannot be read, by table",
  listen_failures_total: "Attempts to open an address that failed, by listener",
  accept_failures_total:
    "Errors of a listener that is open, such as connections that cannot be accepted",
  unexpected_errors_total:
    "Errors that the program does not expect, by the part that they were confined to",
  node_ready: "1 while the node takes requests",
  session_usable: "1 while the session lease is usable",
  table_outage: "1 while the table service does not answer",
  members: "Known nodes by state",
  engine_queued: "Requests waiting at the owner, by engine",
  engine_running: "Requests running, by engine",
  engine_adapters: "Adapter versions held, by engine",
  engine_turned_away:
    "Requests refused by the bounds of the owner, by engine and bound",
} as const satisfies Record<string, string>;

/** Name of a metric, without the common prefix. */
export type MetricName = keyof typeof metricCatalogue;
