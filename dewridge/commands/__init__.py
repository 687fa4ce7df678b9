"""One small module for each command of the command line."""
