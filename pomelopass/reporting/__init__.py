"""Tell people and programs what instances did."""
