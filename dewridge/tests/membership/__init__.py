"""Tests of dewridge.membership."""
