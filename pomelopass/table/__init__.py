"""Reach the shared table service: directly, or through a peer."""
