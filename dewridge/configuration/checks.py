"""Validation of published profiles and services; reports all problems at once."""

from dewridge.configuration.model import Configuration, Profile, Service
from dewridge.policy.registry import check_profile


def check_profile_change(profile: Profile) -> list[str]:
    """Return the problems of a profile, one line each."""
    problems = [] if profile.name else ["the profile has no name"]
    if "/" in profile.name:
        problems.append("a profile's name holds no slash")
    return problems + check_profile(profile)


def check_service_change(service: Service, configuration: Configuration) -> list[str]:
    """Return the problems of a service and of its reference to a profile."""
    problems = [] if service.name else ["the service has no name"]
    if "/" in service.name:
        problems.append("a service's name holds no slash")
    profile = configuration.profiles.get(service.profile)
    if profile is None:
        known = ", ".join(sorted(configuration.profiles)) or "none"
        problems.append(f"no profile {service.profile!r}; known: {known}")
    elif profile.retired:
        problems.append(f"profile {service.profile!r} is retired")
    if not service.operations:
        problems.append("the service has no operations")
    names = [operation.name for operation in service.operations]
    for name in sorted({name for name in names if names.count(name) > 1}):
        problems.append(f"operation {name!r} is given twice")
    for operation in service.operations:
        if operation.expected_tokens < 1:
            problems.append(f"operation {operation.name!r}: expected_tokens below 1")
    for account, weight in service.shares.items():
        if weight <= 0:
            problems.append(f"shares.{account} must be above 0")
    return problems
