"""Frames and connections between the system's own processes."""
