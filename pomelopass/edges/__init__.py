"""Connect an instance to sockets, clocks and the platform."""
