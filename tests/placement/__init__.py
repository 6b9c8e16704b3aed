"""Test the placement across availability zones."""
