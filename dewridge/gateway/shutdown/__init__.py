"""Graceful shutdown: what is still accepted, what is answered, and when it ends."""
