"""Decisions under load, free of input and output."""
