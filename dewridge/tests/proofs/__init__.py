"""Tests of dewridge.proofs."""
