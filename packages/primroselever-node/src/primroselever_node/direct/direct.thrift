/*
 * Messages between entries and agents in deployments that call back ends directly.
 *
 * Each datagram holds one of the structures below; larger data is fetched by calls.
 * Times are sent as milliseconds before or after the time of sending, because processes
 * do not share a clock.
 */

include "../rpc/primroselever.thrift"

/*
 * The heartbeat of an entry. peers maps the hosts of other entries to their failure
 * domains. weights_age_ms is the time since each version of a model was proven to be
 * unpublished, where that is known; entries that send no sent_ms send the time since
 * they learned of it. store_age_ms is negative if the store never answered this entry
 * itself. operator_age_ms is the age of what the store's answers to this entry prove
 * about the operator's part, and answer_age_ms the time since it read the last one.
 * sent_ms is the sender's monotonic clock at the time of sending.
 * store_era is the era in which store_revision counts; older entries send none.
 * evacuations_era and evacuations_revision are the store's position of the latest change
 * of the evacuated failure domains; entries that know no evacuations send none.
 */
struct EntryNews {
  1: string host,
  2: string failure_domain,
  3: i64 incarnation,
  4: bool leaving,
  5: i64 configuration_revision,
  6: i64 store_revision,
  7: i64 store_age_ms,
  8: map<string, i32> weights,
  9: map<string, string> peers,
  10: map<string, map<i32, i32>> weights_age_ms,
  11: optional i64 store_era,
  12: optional i64 operator_age_ms,
  13: optional i64 evacuations_era,
  14: optional i64 evacuations_revision,
  /* Bitmaps of the pieces that the entry holds, by model and version, little-endian. */
  15: optional map<string, map<i32, binary>> pieces,
  16: optional i64 sent_ms,
  17: optional i64 answer_age_ms,
}

/*
 * An agent's report on its engine. address is the back end's; version is 0 without
 * completely loaded weights. closes_in_ms is the time until the engine stops taking
 * requests to load other weights, and negative if that is not planned. memory_used and
 * memory_total are in tokens; agents of engines that do not report them send none.
 * unverified says that an earlier process of the agent ordered what the engine holds.
 * link_delay_ms is how long what is sent to the VM now waits in its link, unless short.
 */
struct EngineNews {
  1: string address,
  2: i64 born_ms,
  3: string model,
  4: i32 version,
  5: bool switching,
  6: i32 running,
  7: i32 waiting,
  8: double pace,
  9: string failure_domain,
  10: string host,
  11: i32 closes_in_ms,
  12: optional i32 memory_used,
  13: optional i32 memory_total,
  14: optional bool unverified,
  15: optional i32 link_delay_ms,
}

/*
 * Which weights an agent's engine should hold. rank is the back end's position, from 0,
 * among the group_size back ends of its service. version_ages_ms has the time since the
 * latest proof that a version was not published yet, for each version of which there is
 * one, at the time sent_ms of the sender's clock.
 */
struct FillingAdvice {
  1: string host,
  2: string failure_domain,
  3: map<string, i32> weights,
  4: map<string, i32> weights_age_ms,
  5: map<string, string> peers,
  6: i32 rank,
  7: i32 group_size,
  8: optional map<string, map<i32, i32>> version_ages_ms,
  9: optional i64 sent_ms,
  10: optional i64 incarnation,
}

/* A request that an entry sent to the back end at address. */
struct Sent {
  1: string address,
  2: i32 prompt_tokens,
  3: optional i32 urgency,
}

struct SentNews {
  1: list<Sent> requests,
}

/* Requests during whose runs servers crashed; a crash ID names the server's start. */
/* trials_ms: by fingerprint, how long a trial of the sender may still run. */
struct SuspicionNews {
  1: list<primroselever.Suspicion> suspicions,
  2: optional map<string, i32> trials_ms,
}

/* The start of a back end that announced in an answer that it leaves. */
struct LeavingServer {
  1: string server_id,
  2: string host,
  3: i32 port,
  4: i64 born_ms,
}

struct LeavingNews {
  1: list<LeavingServer> servers,
}

/*
 * The rate limit of the start of a back end, in requests a second, negative for none,
 * and how long ago an entry read it. started is how many requests the
 * sender sent since its last news.
 */
struct LimitNews {
  1: string server_id,
  2: string host,
  3: i32 port,
  4: i64 born_ms,
  5: double rate,
  6: i32 age_ms,
  7: i32 started,
}

/*
 * What is known of the start of a back end that is cold or in its ramp. cold_ms is for
 * how long it is still cold, and age_ms how long before the sending an entry sent the
 * request whose answer named that. per_s is the pace of its ramp, in requests a second
 * of all entries, step counts the changes of it, floor_ms is the shortest time in which
 * the server answered, and started how many requests the sender sent since its last
 * news.
 */
struct PaceNews {
  1: string server_id,
  2: string host,
  3: i32 port,
  4: i64 born_ms,
  5: optional i32 cold_ms,
  6: optional i32 age_ms,
  7: optional i32 step,
  8: optional double per_s,
  9: optional i32 floor_ms,
  10: optional i32 started,
}

struct Datagram {
  1: optional EntryNews entry,
  2: optional EngineNews engine,
  3: optional FillingAdvice advice,
  4: optional SentNews sent,
  5: optional SuspicionNews suspects,
  6: optional LeavingNews leaving,
  7: optional LimitNews limit,
  8: optional list<PaceNews> paces,
}

/*
 * state is "held", "reading" (call again at once) or "pending" (the read failed; call
 * again after retry_after_ms). size is the size of the whole piece in bytes. A call
 * with claimed_by is also answered "absent". holder is the entry that holds, reads or
 * claims the piece, if the answering one knows it.
 */
struct PieceReply {
  1: string state,
  2: binary data,
  3: i32 retry_after_ms,
  4: i32 size,
  5: optional string holder,
}

service DirectPeer {
  /* JSON, and compressed with zlib if packed is set. */
  binary fetch_catalogue(1: i64 store_revision, 2: bool packed),
  /*
   * length 0 requests all bytes from the offset on. hops is how many entries have
   * relayed the call; relayed is set if it is above 0, and callers that do not know
   * hops set relayed only. With claimed_by nothing is read: the entry of that name, if
   * it is not empty, is about to read the piece from the origin unless the answer is
   * "held" or "reading". The index -1 then stands for the manifest.
   */
  PieceReply fetch_piece(1: string model, 2: i32 version, 3: i32 index, 4: bool relayed, 5: i32 offset, 6: i32 length, 7: i32 hops, 8: string claimed_by),
  list<string> fetch_digests(1: string model, 2: i32 version, 3: bool relayed, 4: i32 hops),
}
