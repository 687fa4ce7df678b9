"""Profiles and services: revisions, acceptance and spreading."""
