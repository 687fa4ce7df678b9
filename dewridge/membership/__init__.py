"""Gossip-based membership of the entry hosts: failure detection, rumors, ranking."""
