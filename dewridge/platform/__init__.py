"""Adapter to the operator's platform: its names, formats and calls, no policy."""
