/*
 * What entries and agents tell each other where back ends are called directly.
 *
 * News travel in datagrams, each of which holds one of these kinds; what is large
 * is asked for by calls. Ages are in milliseconds, since no two processes share a clock.
 */

include "../rpc/primroselever.thrift"

/*
 * peers maps the addresses of other entries to their failure domains; weights_age_ms
 * says how long ago each version of a model was learned, where that is known.
 * store_age_ms is negative where the store never answered this entry itself.
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
}

/*
 * address is that of the back end; version is 0 without whole weights; closes_in_ms is
 * negative unless the engine is to load other weights then.
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
}

/* rank is the back end's place among group_size others of its service. */
struct FillingAdvice {
  1: string host,
  2: string failure_domain,
  3: map<string, i32> weights,
  4: map<string, i32> weights_age_ms,
  5: map<string, string> peers,
  6: i32 rank,
  7: i32 group_size,
}

/* One request that an entry sent to the back end at an address. */
struct Sent {
  1: string address,
  2: i32 prompt_tokens,
}

struct SentNews {
  1: list<Sent> requests,
}

/* Requests at whose runs servers crashed; each crash is named by the server's start. */
struct SuspicionNews {
  1: list<primroselever.Suspicion> suspicions,
}

struct Datagram {
  1: optional EntryNews entry,
  2: optional EngineNews engine,
  3: optional FillingAdvice advice,
  4: optional SentNews sent,
  5: optional SuspicionNews suspects,
}

/*
 * state is held, reading (ask again at once) or pending (it could not be read; ask again
 * after retry_after_ms); size is the piece's.
 */
struct PieceReply {
  1: string state,
  2: binary data,
  3: i32 retry_after_ms,
  4: i32 size,
}

service DirectPeer {
  binary fetch_catalogue(1: i64 store_revision),
  /* length 0 asks for all from the offset on. */
  PieceReply fetch_piece(1: string model, 2: i32 version, 3: i32 index, 4: bool relayed, 5: i32 offset, 6: i32 length),
  list<string> fetch_digests(1: string model, 2: i32 version, 3: bool relayed),
}
