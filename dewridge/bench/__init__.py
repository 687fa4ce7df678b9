"""Measures the decisions: a small event loop over the pure code, no sockets."""
