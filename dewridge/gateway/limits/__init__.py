"""Limits on the sum over all hosts, of which each host keeps its part."""
