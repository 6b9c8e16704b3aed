"""Decide without input or output: plain functions over data classes."""
