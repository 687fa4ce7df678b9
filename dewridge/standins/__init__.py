"""Small stand-ins of the platform's services and of backend servers.

They exist for demos, tests and measurements; the product never imports them.
"""
