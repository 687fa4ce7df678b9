"""Tests of dewridge.fleet."""
