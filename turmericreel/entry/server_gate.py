"""Lets only backend servers with a known key through to their doors."""

from turmericreel.entry.application import Handler, HttpAnswer, HttpRequest, Route
from turmericreel.model.failures import FailureError, Unauthenticated
from turmericreel.util.keys import KeyIndex, key_id


class ServerGate:
    """Checks keys where the settings name any.

    Parameters
    ----------
    key_hashes : list of str
        Empty lets every backend server through.
    """

    def __init__(self, *, key_hashes: list[str]):
        self.is_open = not key_hashes
        self.keys: KeyIndex[str] = KeyIndex(
            hashes=[(key_id(known), known) for known in key_hashes]
        )

    def guard(self, handler: Handler) -> Route:
        """Return the route of a door behind this gate."""

        def guarded(http: HttpRequest) -> HttpAnswer:
            if not self.is_open and self.keys.owner_of(http.bearer) is None:
                raise FailureError(Unauthenticated())
            return handler(http)

        return Route(handler=guarded, methods=("POST",))
