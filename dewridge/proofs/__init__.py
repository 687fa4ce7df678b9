"""Fault-injection tests on real processes that check the guarantees of the system.

Each guarantee has a number and is called a promise.
"""
