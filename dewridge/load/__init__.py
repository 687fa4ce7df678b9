"""Load generator: open-loop arrivals of a deployment's mix of calls."""
