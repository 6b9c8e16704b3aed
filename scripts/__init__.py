"""Development scripts that start processes and run checks."""
