"""A randomized soak test: gateways run under injected faults and are checked.

`make soak` runs seeds. The store, the cloud API, the backend servers and the callers
are stand-ins in the process of the soak test. Gateways are real processes, which it
starts, signals and kills by process id.
"""
