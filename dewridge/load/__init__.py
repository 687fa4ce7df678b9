"""Open-loop load generator for the mix of calls of a deployment."""
