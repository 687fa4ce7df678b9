"""Tests of dewridge.bench."""
