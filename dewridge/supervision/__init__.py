"""Supervision of tasks, their mailboxes and state dumps."""
