"""Proofs of the promises: faults on real processes, and checks of what was seen."""
