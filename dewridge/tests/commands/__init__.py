"""Tests of dewridge.commands."""
