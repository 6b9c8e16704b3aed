namespace py peer

enum ClaimState {
  NEVER_DISPATCHED = 1
  IN_PROGRESS = 2
  DONE = 3
  KEY_REUSED = 4
}

struct Header {
  1: string name
  2: string value
}

struct RecordedReply {
  1: i32 status
  2: list<Header> headers
  3: binary body
}

struct ClaimAnswer {
  1: ClaimState state
  2: optional RecordedReply reply
}

struct News {
  1: string kind
  2: string key
  3: string value
  4: i64 ttl_ms
}

struct Digest {
  1: string incarnation
  2: string caller_address
  3: string peer_address
  4: string operator_address
  5: string availability_zone
  6: bool accepting
  7: i64 config_version
  8: list<News> news
  9: i64 clock_ms
  10: bool stopping
}

service Peer {
  Digest exchange(1: Digest digest)
  ClaimAnswer ask_claim(1: string key, 2: string fingerprint)
}
