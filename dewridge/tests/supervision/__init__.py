"""Tests of dewridge.supervision."""
