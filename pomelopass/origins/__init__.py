"""Remember which software version began each stream that may be resumed."""
