"""Counters, latency histograms and what each profile cost and lost."""
