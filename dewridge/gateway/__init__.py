"""The gateway that runs on every entry host, between callers, servers and peers."""
