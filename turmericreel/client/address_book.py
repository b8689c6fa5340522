"""Caches the list of instances that a caller may use until the list expires."""

from collections.abc import Callable
from random import Random
from urllib.parse import urlencode

import msgspec
from gevent.ssl import SSLContext
from geventhttpclient.response import HTTPParseError

from turmericreel.client.wire import decode_failure
from turmericreel.model.failures import FailureError, NotRun
from turmericreel.protocols.http_client import build_http_client
from turmericreel.util.clock import Clock

LIST_TIMEOUT_S = 2.0
LIST_PATH = "/v1/addresses"


class AddressAnswer(msgspec.Struct, kw_only=True):
    """Response to a request for the address list.

    Parameters
    ----------
    addresses : list of str
        Addresses ``ip:port``, best first.
    valid_ms : int
        How long the list may be used, in milliseconds.
    """

    addresses: list[str]
    valid_ms: int


FetchList = Callable[[str], AddressAnswer | None]


class AddressBook:
    """Instance addresses for one service, fetched again when they expire.

    Parameters
    ----------
    bootstrap : list of str
        Addresses that are always candidates for fetching the list.
    fetch : callable
        Fetches the list from one address; returns None if it is unavailable there.
    clock : Clock
    rng : Random
    """

    def __init__(
        self, *, bootstrap: list[str], fetch: FetchList, clock: Clock, rng: Random
    ):
        self.bootstrap = list(bootstrap)
        self.fetch = fetch
        self.clock = clock
        self.rng = rng
        self.addresses: list[str] = []
        self.hints: list[str] = []
        self.valid_until = 0.0

    def current(self) -> list[str]:
        """Return the addresses to use now, best first; empty if none is known.

        Fetches the list if it has expired or is empty.

        Raises
        ------
        FailureError
            If `fetch` raises it.
        """
        if not self.addresses or self.clock.monotonic() >= self.valid_until:
            self._refresh()
        return list(self.addresses)

    def drop(self, address: str) -> None:
        """Remove an address until the list is fetched again."""
        if address in self.addresses:
            self.addresses.remove(address)

    def set_hints(self, addresses: tuple[str, ...]) -> None:
        """Set further addresses that the list may be fetched from."""
        self.hints = list(addresses)

    def _refresh(self) -> None:
        # An expired list is not used for calls, but a new list may be fetched from its
        # instances, as a fetch has no side effects.
        known = [*self.addresses, *self.hints, *self.bootstrap]
        candidates = list(dict.fromkeys(known))
        self.rng.shuffle(candidates)
        self.addresses = []
        for address in candidates:
            requested_at = self.clock.monotonic()
            answer = self.fetch(address)
            if answer is not None and answer.addresses:
                self.addresses = answer.addresses
                self.valid_until = requested_at + answer.valid_ms / 1_000
                return


def fetch_list(
    address: str,
    *,
    key: str,
    service: str,
    data_centre: str,
    context: SSLContext | None,
) -> AddressAnswer | None:
    """Fetch the address list from one instance over HTTP.

    Returns None if the instance is unreachable or cannot provide the list now.

    Parameters
    ----------
    address : str
    key : str
        Key of the client account.
    service : str
    data_centre : str
        Data centre of the caller; ``""`` leaves the choice to the instance.
    context : SSLContext or None
        TLS context; None uses plain text.

    Raises
    ------
    FailureError
        With `NotRun` if every instance would refuse, as for an unknown key.
    """
    arguments = {"service": service}
    if data_centre:
        arguments["data_centre"] = data_centre
    client = build_http_client(address, timeout_s=LIST_TIMEOUT_S, context=context)
    try:
        response = client.get(
            f"{LIST_PATH}?{urlencode(arguments)}",
            headers={"Authorization": f"Bearer {key}"},
        )
        body = bytes(response.read())
        if response.status_code != 200:
            _raise_permanent(body)
            return None
        return msgspec.json.decode(body, type=AddressAnswer)
    except (OSError, HTTPParseError, msgspec.MsgspecError):
        return None
    finally:
        client.close()


def _raise_permanent(body: bytes) -> None:
    failure = decode_failure(body)
    if isinstance(failure, NotRun) and failure.retry_after_ms is None:
        raise FailureError(failure)
