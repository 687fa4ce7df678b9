"""Tests, in the folder structure of the package."""
