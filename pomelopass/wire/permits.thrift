namespace py permits

struct Reservation {
  1: i32 count
  2: double wait_ms
}

service PermitAllocator {
  Reservation reserve(
    1: string endpoint_id, 2: double per_s, 3: i64 observed_ms, 4: i32 count)
}
