"""Scheduling, admission, scaling and failover decisions, without I/O."""
