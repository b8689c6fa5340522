"""Validates a routing configuration before it is accepted."""

from collections import Counter
from collections.abc import Iterator

from turmericreel.model.failures import FailureError, RoutingRejected
from turmericreel.model.routing import Route, RoutingConfiguration


def check_routing(configuration: RoutingConfiguration) -> None:
    """Check the routes (services, prefixes, weights, time-outs) and the account keys.

    Raises
    ------
    FailureError
        With `RoutingRejected`, which lists all faults.
    """
    faults = tuple(_faults(configuration))
    if faults:
        raise FailureError(RoutingRejected(faults=faults))


def _faults(configuration: RoutingConfiguration) -> Iterator[str]:
    services = {service.name for service in configuration.services}
    for route in configuration.routes:
        yield from _route_faults(route, services)
    n_routes_by_prefix = Counter(
        (r.host.lower(), r.path_prefix) for r in configuration.routes
    )
    for (host, prefix), n_routes in n_routes_by_prefix.items():
        if n_routes > 1:
            yield f"{n_routes} routes share host {host!r} and prefix {prefix!r}"
    yield from _key_faults(configuration)


def _route_faults(route: Route, services: set) -> Iterator[str]:
    for share in route.shares:
        if share.service not in services:
            yield f"route {route.name!r} refers to unknown service {share.service!r}"
        if share.weight < 0:
            yield f"route {route.name!r} has a negative weight, {share.weight}"
    if sum(share.weight for share in route.shares) <= 0:
        yield f"the weights of route {route.name!r} add up to 0"
    if route.timeout_ms <= 0:
        yield f"route {route.name!r} has an invalid time-out, {route.timeout_ms} ms"
    prefix = route.path_prefix
    if not (prefix.startswith("/") and prefix.endswith("/")):
        yield f"path prefix {prefix!r} must begin and end with a slash"


def _key_faults(configuration: RoutingConfiguration) -> Iterator[str]:
    accounts_by_key: dict[str, set] = {}
    for account in configuration.accounts or ():
        for key in account.keys:
            accounts_by_key.setdefault(key, set()).add(account.account)
    for accounts in accounts_by_key.values():
        if len(accounts) > 1:
            yield f"client accounts share a key: {', '.join(sorted(accounts))}"
