"""Tests of dewridge.metrics."""
