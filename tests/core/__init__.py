"""Tests of the decision core."""
