"""Deployments of separate processes on loopback, for demo, load tests and proofs."""
