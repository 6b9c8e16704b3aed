"""Test simulated clusters under random faults."""
