"""The settings file: its schema, its loading and its checks."""
