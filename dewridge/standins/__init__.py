"""Small simulators of the platform's services and of backend servers.

They serve demos, tests and measurements only; product code never imports them.
"""
