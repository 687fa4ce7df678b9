"""Benchmarks the scheduling policies in an event-driven simulation without sockets."""
