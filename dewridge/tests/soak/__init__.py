"""A randomized soak: real gateways, faults from outside, promises checked.

`make soak` plays seeds. Store, cloud API, servers and callers are stand-ins in the
soak's own process; gateways are real processes that it starts, signals and ends by id.
"""
