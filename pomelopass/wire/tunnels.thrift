namespace py tunnels

enum TunnelOutcome {
  OPEN = 0
  UNREACHABLE = 1
  BUSY = 2
  NOT_OFFERED = 3
  // The peer reaches no endpoint over its own links.
  CUT_OFF = 4
}

service EndpointTunnel {
  // After OPEN the connection carries bytes to and from the endpoint.
  TunnelOutcome open_tunnel(1: string endpoint_id)

  // An answer that came through a tunnel said that its endpoint stops soon.
  bool report_leaving(1: string endpoint_id, 2: i64 started_at_ms)
}
