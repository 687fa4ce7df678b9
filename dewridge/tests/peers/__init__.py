"""Tests of dewridge.peers."""
