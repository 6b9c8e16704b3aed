namespace py relay

struct RowName {
  1: string table
  2: string part
  3: string key
}

struct RowValue {
  1: RowName name
  2: optional binary value
  3: i64 version
}

struct RangeQuery {
  1: string table
  2: string part
  3: string start
  4: string end
  5: i32 limit
}

struct Rows {
  1: list<RowValue> rows
  2: bool has_more
  3: i64 version
  4: i64 now_ms
}

struct Write {
  1: list<RowValue> expected
  2: list<RowValue> puts
  3: list<RowName> removes
}

struct WriteOutcome {
  1: bool applied
  2: Rows rows
}

exception RelayFailed {
  1: string detail
  2: bool may_have_run
}

exception HistoryLost {
}

service TableRelay {
  Rows read(1: RangeQuery query) throws (1: RelayFailed failed)
  list<string> list_parts(1: string table) throws (1: RelayFailed failed)
  WriteOutcome transact(1: Write changes) throws (1: RelayFailed failed)
  Rows follow(1: string table, 2: i64 after, 3: i32 wait_ms)
    throws (1: RelayFailed failed, 2: HistoryLost lost)
}
