"""Paths from this host to the servers: by its own links, or relayed by a peer."""
