"""Profiles and services: their revisions, acceptance of changes and distribution."""
