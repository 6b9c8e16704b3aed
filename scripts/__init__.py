"""Launch processes and run checks; no part of the product."""
