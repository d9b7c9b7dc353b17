/*
 * Messages and services between the processes of the system.
 *
 * Deadlines are sent as the milliseconds that remain, because processes do not
 * share a clock. The receiver converts them to a deadline of its own on arrival.
 */

struct Load {
  1: i32 in_flight,
  2: i32 queued,
  3: i32 limit,
  4: double engine_load,
  5: i32 engine_age_ms,
}

struct Suspicion {
  1: string fingerprint,
  2: i32 crashes,
  3: i64 remaining_ms,
  30: list<string> crash_ids,
  31: list<string> cleared_ids,
}

struct Heartbeat {
  1: string vm_id,
  2: i64 incarnation,
  3: i64 revision,
  4: string revision_digest,
  5: i64 vm_list_revision,
  6: bool leaving,
  7: Load load,
  8: string weights_digest,
  9: list<Suspicion> suspicions,
  10: i64 service_age_ms,
  11: string failure_domain,
  12: string address,
  13: i32 rpc_port,
  20: i64 epoch,
}

/*
 * A published value as one process passes it to another. Revision 0 means that
 * there is no newer value. digest is the digest of the full value. If patched is
 * set, text is the part between the first front bytes and the last back bytes that
 * the value shares with the value whose digest is known_digest in the call. For the
 * VM list, reader is the VM that read it from the platform, revision is a counter of
 * that reader, and text holds the changes since the list with digest known_digest.
 */
struct Publication {
  1: i64 revision,
  2: binary text,
  3: string digest,
  4: bool patched,
  5: i32 front,
  6: i32 back,
  7: string reader,
  8: i64 reader_incarnation,
}

struct TicketRequest {
  1: string service_name,
  2: string workspace,
  3: string fingerprint,
  4: string idempotency_key,
}

/* If no ticket is issued, ticket is empty and reason says why. */
struct TicketReply {
  1: string ticket,
  2: string reason,
  20: i64 retry_after_ms,
}

struct StartRequest {
  1: string run_id,
  2: i64 incarnation,
  3: string service_name,
  4: string workspace,
  5: string fingerprint,
  6: binary body,
  7: i64 remaining_ms,
  8: i32 priority,
  9: bool idempotent,
  10: string ticket,
  11: string weights_digest,
  20: i64 epoch,
  21: string reader,
  30: list<Suspicion> suspicions,
}

/*
 * state is accepted, refused (it never ran and never will) or unknown (it may have
 * run before); the latter two have a reason. If an accepted ticket is used again,
 * run_id is the run that it started the first time. Later starts must have the epoch
 * of this reply.
 */
struct StartReply {
  1: string state,
  2: string reason,
  3: i64 retry_after_ms,
  4: string run_id,
  5: i64 incarnation,
  6: Load load,
  7: bool leaving,
  20: i64 epoch,
  30: list<Suspicion> suspicions,
}

struct RunCursor {
  1: string run_id,
  2: i64 offset,
}

/*
 * state is running, done, failed, not_run (it never ran and never will) or missing
 * (the agent does not know the run). length and digest are those of the whole answer
 * and are set only if state is done.
 */
struct RunSlice {
  1: string run_id,
  2: i64 offset,
  3: binary data,
  4: string state,
  5: string reason,
  6: i64 length,
  7: string digest,
  30: i64 retry_after_ms,
}

/*
 * A reader receives the new data of the runs that it started and of those whose
 * cursors it sent. If reader_lost is set, the agent no longer knows the reader, which
 * must start again with another reader name and send all its cursors.
 */
struct ReadReply {
  1: i64 incarnation,
  2: list<RunSlice> slices,
  3: Load load,
  4: bool leaving,
  20: bool reader_lost,
  30: list<Suspicion> suspicions,
}

/*
 * state is held (data holds the chunk), elsewhere (fetch it from ask_vm_id), pending
 * (this agent waits for the chunk too), reading (this agent is reading the chunk from
 * outside its failure domain, or holds it but is busy) or unknown.
 */
struct ChunkReply {
  1: string state,
  2: binary data,
  3: i64 retry_after_ms,
  4: string ask_vm_id,
}

service Node {
  Heartbeat heartbeat(1: Heartbeat sender),
  Publication fetch_publication(1: string name, 2: i64 known_revision, 3: i64 wait_ms, 4: string known_digest),
}

service Agent extends Node {
  TicketReply issue_ticket(1: TicketRequest request),
  StartReply start(1: StartRequest request),
  ReadReply read(1: list<RunCursor> cursors, 2: i64 wait_ms, 3: string reader, 4: bool first),
  RunSlice resolve(1: string run_id, 2: i64 incarnation, 3: i64 epoch),
  void cancel(1: string run_id),
  ChunkReply fetch_chunk(1: string weights_digest, 2: i32 index, 3: i64 wait_ms, 4: string asker, 5: i32 hops, 6: string chunk_digest),
  binary find_manifest(1: string model, 2: string adapter, 3: string version),
}
