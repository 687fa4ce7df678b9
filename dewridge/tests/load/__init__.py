"""Tests of dewridge.load."""
