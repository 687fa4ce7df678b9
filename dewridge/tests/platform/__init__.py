"""Tests of dewridge.platform."""
