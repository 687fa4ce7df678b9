"""Tests of dewridge.policy."""
