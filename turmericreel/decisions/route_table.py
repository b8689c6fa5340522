"""Finds the route of a request by its host and the longest prefix of its path."""

from turmericreel.model.routing import (
    AccountKeys,
    Route,
    RoutedService,
    RoutingConfiguration,
)


class RouteTable:
    """Look-up tables of a routing configuration.

    Parameters
    ----------
    configuration : RoutingConfiguration
    """

    def __init__(self, *, configuration: RoutingConfiguration):
        self.configuration = configuration
        self.routes: dict[tuple[str, str], Route] = {
            (route.host.lower(), route.path_prefix): route
            for route in configuration.routes
        }
        self.services: dict[str, RoutedService] = {
            service.name: service for service in configuration.services
        }
        self.accounts: dict[str, AccountKeys] = {
            key: account
            for account in configuration.accounts or ()
            for key in account.keys
        }

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching path prefix, or None.

        Parameters
        ----------
        host : str
            Host of the request, with or without a port; case is ignored.
        path : str
            Path without the query.
        """
        name = host.partition(":")[0].lower()
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = self.routes.get((name, path[: end + 1]))
            if route is not None:
                return route
        return None

    def account_of(self, key: str | None) -> AccountKeys | None:
        """Return the client account that holds a key, or None."""
        return self.accounts.get(key) if key else None

    def allows(self, route: Route, account: AccountKeys | None) -> bool:
        """Return whether a client with this account, or with None, may use a route."""
        needs_key = self.configuration.accounts is not None and not route.public
        return account is not None or not needs_key
