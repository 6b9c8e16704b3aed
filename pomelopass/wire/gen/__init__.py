"""Hold the code that thrift generates from peer.thrift."""
