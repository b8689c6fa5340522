"""Authenticates backend servers by their keys before calling a handler."""

from turmericreel.entry.application import Handler, HttpAnswer, HttpRequest, Route
from turmericreel.model.failures import FailureError, Unauthenticated
from turmericreel.util.keys import KeyIndex, key_id


class ServerGate:
    """Checks the keys of backend servers, if any are configured.

    Parameters
    ----------
    key_hashes : list of str
        Hashes of the accepted keys; if empty, every backend server is accepted.
    """

    def __init__(self, *, key_hashes: list[str]):
        self.is_open = not key_hashes
        self.keys: KeyIndex[str] = KeyIndex(
            hashes=[(key_id(key_hash), key_hash) for key_hash in key_hashes]
        )

    def guard(self, handler: Handler) -> Route:
        """Return a POST route that calls a handler only with a valid key."""

        def guarded(http: HttpRequest) -> HttpAnswer:
            if not self.is_open and self.keys.owner_of(http.bearer) is None:
                raise FailureError(Unauthenticated())
            return handler(http)

        return Route(handler=guarded, methods=("POST",))
