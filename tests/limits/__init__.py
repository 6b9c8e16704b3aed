"""Tests of the limits of endpoints."""
