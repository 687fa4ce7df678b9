"""Admission of requests while they compete for the engines of a service.

Each host decides for its own requests, from figures that all hosts share
(docs/design/admission-under-contention.md).
"""
