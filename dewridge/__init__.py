"""Serves language models and plain services on reclaimable hosts."""

__version__ = "0.1.0"
