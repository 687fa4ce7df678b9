"""Tests of dewridge.testbed."""
