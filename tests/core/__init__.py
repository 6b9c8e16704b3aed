"""Hold tests of one area."""
