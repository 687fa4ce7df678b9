"""Stand-ins of the platform, of backend servers and of callers for the review."""
