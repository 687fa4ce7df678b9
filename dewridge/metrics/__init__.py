"""Counters, gauges and latency histograms of a process, and their text format."""
