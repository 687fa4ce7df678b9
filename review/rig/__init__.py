"""Stand-ins of the users' platform for the scripts of the second review."""
