"""Tests of dewridge.front."""
