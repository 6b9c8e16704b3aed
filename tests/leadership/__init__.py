"""Test the folder of the same name."""
