"""Schema, loading and validation of the settings file."""
