"""Framed messages over TCP connections between entry hosts."""
