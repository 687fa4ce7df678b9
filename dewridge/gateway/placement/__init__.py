"""Placement of prompts by the expected time to their first event."""
