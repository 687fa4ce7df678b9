"""Tests of dewridge.frontend."""
