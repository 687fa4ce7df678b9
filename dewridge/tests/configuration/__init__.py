"""Tests of dewridge.configuration."""
