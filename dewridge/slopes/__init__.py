"""Measures how memory, processor and network costs grow with the number of hosts."""
