"""Keep the request rates that endpoints allow all instances together."""
