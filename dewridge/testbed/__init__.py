"""Deployments of separate processes on loopback, for the demo, load and proofs."""
