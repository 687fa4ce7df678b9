"""Whether requests of a service are admitted by a plan or by the ramps of its load."""

from dewridge.gateway.model import Configuration
from dewridge.gateway.state import GatewayState
from dewridge.ids import ServiceName

MIN_URGENCIES = 2
"""Urgencies of a service's routes from which a plan has a choice among them."""
MIN_RATES = 2
"""Different token quotas from which the accounts are of unequal size."""


def is_planned(state: GatewayState, service: ServiceName) -> bool:
    """Return whether the requests of a service are admitted by a plan."""
    setting = state.settings.decisions.admission
    configuration = state.configuration.current
    if setting == "ramps" or configuration is None:
        return False
    if setting == "planned":
        return True
    planned = state.contention.planned_services
    if planned.version != configuration.version:
        planned.version = configuration.version
        planned.names = frozenset(
            name for name in configuration.services if is_suited(configuration, name)
        )
    return service in planned.names


def is_suited(configuration: Configuration, service: ServiceName) -> bool:
    """Return whether a configuration calls for a plan for a service.

    It does if the service has engines with a memory limit, routes of several urgencies
    and accounts with token quotas of unequal size.
    """
    known = configuration.services.get(service)
    if known is None or known.engine is None or known.engine.memory_tokens <= 0:
        return False
    urgencies = {
        route.priority
        for route in configuration.routes
        if any(share.service == service for share in route.shares)
    }
    rates = {
        account.rate
        for account in configuration.accounts.values()
        if account.counts_tokens and account.rate > 0
    }
    return len(urgencies) >= MIN_URGENCIES and len(rates) >= MIN_RATES


def has_planned_service(state: GatewayState) -> bool:
    """Return whether some service is planned, so that all accounts are counted."""
    configuration = state.configuration.current
    return configuration is not None and any(
        is_planned(state, name) for name in configuration.services
    )
