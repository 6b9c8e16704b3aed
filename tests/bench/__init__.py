"""Tests of the benchmark tools."""
