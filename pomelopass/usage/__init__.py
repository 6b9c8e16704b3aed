"""Count the requests of workspaces and report them by window."""
