"""Tests of dewridge.client."""
