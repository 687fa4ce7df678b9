"""Tests of crowds of clients that don't keep to the protocol, with real processes."""
