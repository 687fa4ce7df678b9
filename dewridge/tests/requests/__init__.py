"""Tests of dewridge.requests."""
