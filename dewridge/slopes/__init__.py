"""Measurements of how costs grow with the number of hosts."""
