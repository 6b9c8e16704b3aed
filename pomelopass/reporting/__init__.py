"""Report what instances did: logs, metrics, error replies."""
