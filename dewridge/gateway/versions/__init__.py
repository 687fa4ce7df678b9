"""Continues streams only at the software version of a service that began them."""
