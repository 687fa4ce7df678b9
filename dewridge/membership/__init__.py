"""Which entry hosts are there: probes, incarnations, ranking."""
