"""Test the tools of the benchmarks."""
