"""Tests of dewridge.settings."""
