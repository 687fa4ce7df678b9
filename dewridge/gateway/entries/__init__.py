"""Entries in the platform's store that this host reads."""
