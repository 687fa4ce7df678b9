"""Tests of dewridge.standins."""
