"""Demand of classes and usage of accounts, counted at this host and reported by others.

Usage is what the quotas granted: what an account asked for beyond its quota is refused
before it competes for the engines.
"""

from functools import partial

from dewridge.gateway.contention.mode import has_planned_service
from dewridge.gateway.state import GatewayState
from dewridge.ids import ClientAccount, HostId


def count_usage(
    state: GatewayState, account: ClientAccount, amount: float, now: float
) -> None:
    """Count units that an account was granted here."""
    if has_planned_service(state):
        state.contention.record_account_usage(account, amount, now)


def count_unlimited_usage(
    state: GatewayState, account: ClientAccount, amount: float, now: float
) -> None:
    """Count units of an account without a quota, and report them to other hosts."""
    if has_planned_service(state):
        state.ledger.record_unlimited(account, amount)
        state.contention.record_account_usage(account, amount, now)


def connect_reports(state: GatewayState) -> None:
    """Apply what other hosts report of demand and usage to the records."""
    state.sharing.on_quota_usage = partial(_apply_usage, state)
    state.sharing.on_work_demand = partial(_apply_work_demand, state)
    state.sharing.on_demand_ignored = partial(
        state.metrics.add, "demand_reports_ignored_total"
    )


def _apply_usage(
    state: GatewayState, host: HostId, account: ClientAccount, amount: float, now: float
) -> None:
    if has_planned_service(state):
        state.contention.record_account_usage(account, amount, now)
        if is_unlimited(state, account):
            # Without a bucket, the ledger would store each report for half a minute.
            return
    state.ledger.record(host, account, amount, now)


def is_unlimited(state: GatewayState, account: ClientAccount) -> bool:
    """Return whether an account has no quota, and so no bucket."""
    configuration = state.configuration.current
    return (
        configuration is not None
        and account in state.contention.weights.get_unlimited(configuration)
    )


def _apply_work_demand(
    state: GatewayState, key: str, milliseconds: float, now: float
) -> None:
    state.contention.demand.record_remote(key, milliseconds, now)
