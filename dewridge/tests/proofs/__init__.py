"""Tests of the fault-injection scenarios and of their history checks."""
