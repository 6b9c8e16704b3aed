"""Benchmarks of policies on a virtual clock and of daemon processes."""
