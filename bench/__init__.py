"""Measure policies on a virtual clock and the daemon as a process."""
