"""Tests of odd entries in all that hosts read from other processes."""
