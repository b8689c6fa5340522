"""Clients, operators and servers of the soak test, and the invariants they check.

An unsafe request runs at most once, and not at all if it was refused; streams are in
order and complete; after a configuration was accepted, no older one is read back; a
valid configuration is never refused; a request or a prompt part that ends its servers
reaches hardly any once it has ended some; hardly any request reaches a server that is
leaving or that asked for a pause; a server that names a rate gets little more than it;
brittle servers hardly ever fall over; gateways that reach no server go on serving.
"""

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field
from itertools import count
from random import Random
from time import monotonic

import msgspec
from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPParseError

from turmericreel.fakes.routed_server import RoutedServer
from turmericreel.platform.headers import PLATFORM_HEADERS
from turmericreel.protocols.http_client import build_http_client

N_EVENTS = 6
HEARTBEAT_S = 0.3
CLIENT_TIMEOUT_S = 5.0
# Callers on the platform follow this many redirects; the leader may change meanwhile.
MAX_REDIRECTS = 2
NO_ANSWER = "no answer"
# Changes in a series of large configurations, and their additional routes.
N_LARGE_CHANGES = 8
N_MORE_ROUTES = 1_000
OLDER_CONFIGURATION_FRACTION = 0.3
REFUSAL_STATUSES = (408, 421, 429, 503)
NETWORK_ERRORS = (OSError, HTTPParseError)
SERVICE = "service"
# Service of the servers that name rates.
LIMITED_SERVICE = "limited"
BRITTLE_SERVICE = "brittle"
# Service of the servers that get cold, and what these take in a second meanwhile.
COLD_SERVICE = "cold"
COLD_RATE = 4.0
N_SLOTS = 8
REQUEST_KINDS = ("safe", "unsafe", "stream")
LIMITED_FRACTION = 0.3
# Body of requests that end each server that runs them.
POISON = b"poison"
POISON_FRACTION = 0.1
# Parts of prompts that end each server that answers them; requests with such a part are
# unlike each other, and share all other parts with sound ones.
FATAL_PARTS = ("fatal-1", "fatal-2")
FATAL_PART_FRACTION = 0.1
SYSTEM_PART = "system"
N_DOCUMENTS = 5
# Cause of a server's end that is due to none of its requests.
OTHER_CAUSE = ""


@dataclass(frozen=True, kw_only=True)
class FirstTry:
    """A request to a gateway; sent `at` seconds on the monotonic clock."""

    at: float
    gateway: str
    is_served: bool
    is_answered: bool = True


@dataclass(kw_only=True)
class Findings:
    """Observed outcomes and violated invariants.

    Attributes
    ----------
    outcomes : Counter
        Number of requests by kind and outcome.
    faults : list of str
        Violations of invariants.
    refused : set of str
        Attempt ids of refused requests.
    first_tries : list of FirstTry
        Sound requests to the service whose servers do all that stand-ins can.
    gateways : dict of str to str
        Gateway to which each request was sent, by attempt id.
    acknowledged_version : int
        Highest accepted version of the configuration.
    """

    outcomes: Counter = field(default_factory=Counter)
    faults: list[str] = field(default_factory=list)
    refused: set[str] = field(default_factory=set)
    first_tries: list[FirstTry] = field(default_factory=list)
    gateways: dict[str, str] = field(default_factory=dict)
    acknowledged_version: int = 0


class Caller:
    """HTTP caller that keeps its connections open until they fail.

    Attributes
    ----------
    answered_id : str or None
        Attempt id in the last answer.
    signature : str or None
        Signature of the server in the last answer.
    """

    def __init__(self):
        self.clients: dict[str, HTTPClient] = {}
        self.answered_id: str | None = None
        self.signature: str | None = None

    def call(
        self,
        address: str,
        method: str,
        path: str,
        *,
        body: bytes = b"",
        headers=None,
        n_redirects: int = MAX_REDIRECTS,
    ) -> tuple[int, bytes]:
        """Send a request, follow redirects and return status and body.

        Raises
        ------
        OSError or HTTPParseError
            If the connection fails; it is then closed.
        """
        client = self.clients.get(address)
        if client is None:
            client = build_http_client(address, timeout_s=CLIENT_TIMEOUT_S)
            self.clients[address] = client
        try:
            answer = client.request(method, path, body=body, headers=headers or {})
            data = bytes(answer.read())
            self.answered_id = answer.get(PLATFORM_HEADERS.attempt_id)
            self.signature = answer.get(PLATFORM_HEADERS.signature)
        except NETWORK_ERRORS:
            self.clients.pop(address).close()
            raise
        if answer.status_code == 307 and n_redirects:
            address = answer["Location"].split("/")[2]
            return self.call(
                address,
                method,
                path,
                body=body,
                headers=headers,
                n_redirects=n_redirects - 1,
            )
        return answer.status_code, data

    def close(self) -> None:
        """Close all connections."""
        for client in self.clients.values():
            client.close()


class Operator:
    """Sends configurations, sometimes repeats older ones, and reads them back.

    Parameters
    ----------
    addresses : sequence of str
        Addresses of all coordinators.
    """

    def __init__(self, *, addresses: Sequence[str], findings: Findings, rng: Random):
        self.addresses = addresses
        self.findings = findings
        self.rng = rng
        self.caller = Caller()
        self.version = 0

    def send_series(self) -> None:
        """Send configurations of many routes, one right after the other."""
        for _ in range(N_LARGE_CHANGES):
            self.send_next(n_more_routes=N_MORE_ROUTES)

    def send_next(self, *, n_more_routes: int = 0) -> None:
        """Send a new configuration, and at times an older one, and read back."""
        self.version += self.rng.randint(1, 3)
        document = configuration(self.version, n_more_routes=n_more_routes)
        status, _ = self._call("PUT", document)
        if status == 200:
            self.findings.acknowledged_version = max(
                self.findings.acknowledged_version, self.version
            )
        elif 400 <= status < 500:
            self.findings.faults.append(
                f"{self.version} was refused with status {status}"
            )
        self._read_back()
        if (
            self.findings.acknowledged_version > 3
            and self.rng.random() < OLDER_CONFIGURATION_FRACTION
        ):
            # A repeated older configuration must not replace the current one.
            older = self.findings.acknowledged_version - self.rng.randint(1, 3)
            self._call("PUT", configuration(older))
            self._read_back()

    def _read_back(self) -> None:
        min_version = self.findings.acknowledged_version
        status, body = self._call("GET", b"")
        if status != 200:
            return
        version = msgspec.json.decode(body)["Version"]
        if version < min_version:
            self.findings.faults.append(
                f"read {version} after {min_version} was accepted"
            )

    def _call(self, method: str, body: bytes) -> tuple[int, bytes]:
        address = self.rng.choice(self.addresses)
        try:
            return self.caller.call(address, method, "/-/configuration", body=body)
        except NETWORK_ERRORS:
            return 0, b""


class Client:
    """Sends requests of all kinds and checks their answers.

    Parameters
    ----------
    addresses : sequence of str
        Addresses of all gateways.
    bodies : sequence of bytes
        Valid answers to requests without a stream.
    numbers : iterator of int
        Shared by all clients, so that no two requests have the same id.
    """

    def __init__(
        self,
        *,
        addresses: Sequence[str],
        bodies: Sequence[bytes],
        findings: Findings,
        numbers: count,
        rng: Random,
    ):
        self.addresses = addresses
        self.bodies = bodies
        self.findings = findings
        self.numbers = numbers
        self.rng = rng
        self.caller = Caller()

    def send_next(self) -> None:
        """Send one request of a random kind and count its outcome."""
        kind = self.rng.choice(REQUEST_KINDS)
        if self.rng.random() < POISON_FRACTION:
            outcome = f"poison {self._send_poison(kind)}"
        elif self.rng.random() < FATAL_PART_FRACTION:
            outcome = f"fatal part {self._send_fatal_part(kind)}"
        elif self.rng.random() < LIMITED_FRACTION:
            outcome = f"{LIMITED_SERVICE} {self.request(LIMITED_SERVICE)}"
        else:
            outcome = f"{kind} {self.request(kind)}"
        self.findings.outcomes[outcome] += 1

    def request(self, kind: str) -> str:
        """Send one request and return its status, or ``"no answer"``."""
        attempt_id = f"{kind}-{next(self.numbers)}"
        address, began = self.rng.choice(self.addresses), monotonic()
        gateway = address.partition(":")[0]
        self.findings.gateways[attempt_id] = gateway
        status = self._send(
            kind, attempt_id, f"/{kind}/{attempt_id}", b"x", address=address
        )
        if kind in REQUEST_KINDS:
            self.findings.first_tries.append(
                FirstTry(
                    at=began,
                    gateway=gateway,
                    is_served=status == "200",
                    is_answered=status != NO_ANSWER,
                )
            )
        return status

    def _send_poison(self, kind: str) -> str:
        attempt_id = f"{kind}-{next(self.numbers)}"
        return self._send(kind, attempt_id, f"/{kind}/poison", POISON)

    def _send_fatal_part(self, kind: str) -> str:
        attempt_id = f"{kind}-{next(self.numbers)}"
        part = self.rng.choice(FATAL_PARTS)
        return self._send(kind, attempt_id, f"/{kind}/{attempt_id}", b"x", part)

    def _send(
        self,
        kind: str,
        attempt_id: str,
        path: str,
        body: bytes,
        *extra_parts: str,
        address: str = "",
    ) -> str:
        document = f"document-{self.rng.randrange(N_DOCUMENTS)}"
        parts = (SYSTEM_PART, document, *extra_parts, attempt_id)
        headers = {
            "Host": "example",
            PLATFORM_HEADERS.prompt_parts: ",".join(f"{part}:10" for part in parts),
            PLATFORM_HEADERS.attempt_id: attempt_id,
            PLATFORM_HEADERS.deadline_ms: "3000",
        }
        if kind == "stream":
            headers["Accept"] = "text/event-stream"
        address = address or self.rng.choice(self.addresses)
        try:
            status, body = self.caller.call(
                address, "POST", path, body=body, headers=headers
            )
        except NETWORK_ERRORS:
            return NO_ANSWER
        if self.caller.answered_id != attempt_id:
            self.findings.faults.append(
                f"{attempt_id} got {status} of {self.caller.answered_id}"
            )
        if status in REFUSAL_STATUSES:
            self.findings.refused.add(attempt_id)
        if status == 200:
            self._check_body(kind, attempt_id, body)
            if not self.caller.signature:
                self.findings.faults.append(f"{attempt_id} got an unsigned success")
        return str(status)

    def _check_body(self, kind: str, attempt_id: str, body: bytes) -> None:
        expected = self.bodies
        if kind == "stream":
            numbers = range(1, N_EVENTS + 1)
            expected = [b"".join(b"id: %d\ndata: %d\n\n" % (n, n) for n in numbers)]
        if body not in expected:
            self.findings.faults.append(f"{attempt_id} was answered {body!r}")


def service_of(server: RoutedServer) -> str:
    """Return the service of a server, with which the ids of some begin."""
    for service in (LIMITED_SERVICE, BRITTLE_SERVICE, COLD_SERVICE):
        if server.server.startswith(service):
            return service
    return SERVICE


def send_heartbeat(
    caller: Caller,
    server: RoutedServer,
    *,
    address: str,
    sequence: int,
    coordinators: Sequence[str],
    zone: str,
    cold_s: float = 0.0,
) -> None:
    """Send a heartbeat of a server to the first coordinator that accepts it."""
    heartbeat = {
        "Backend": service_of(server),
        "Address": address,
        "Zone": zone,
        "Version": "v1",
        "Slots": server.n_places or N_SLOTS,
        "State": "ready",
        "WarmupLeftMs": int(cold_s * 1_000),
        "Sequence": sequence,
        "born": server.born_ms,
    }
    body = msgspec.json.encode(heartbeat)
    for coordinator in coordinators:
        try:
            path = f"/-/instances/{server.server}"
            if caller.call(coordinator, "PUT", path, body=body)[0] == 200:
                return
        except NETWORK_ERRORS:
            continue


def configuration(version: int, *, n_more_routes: int = 0) -> bytes:
    """Return an encoded configuration with one route of each kind, and some more."""

    def route(name: str, kind: str, **options) -> dict:
        return {
            "Name": name,
            "Hostname": "example",
            "PathPrefix": f"/{name}/",
            "RouteType": kind,
            "TimeoutMs": 3_000,
            "TargetLatencyMs": 300,
            "Backend": SERVICE,
            **options,
        }

    body = {
        "Version": version,
        "Routes": [
            route("safe", "safe", MaxAttempts=3),
            route("unsafe", "unsafe", MaxAttempts=2),
            route("stream", "streaming", MaxAttempts=3, StreamResume=True),
            route(LIMITED_SERVICE, "safe", MaxAttempts=3, Backend=LIMITED_SERVICE),
            route(BRITTLE_SERVICE, "unsafe", Backend=BRITTLE_SERVICE),
            route(COLD_SERVICE, "safe", MaxAttempts=3, Backend=COLD_SERVICE),
            *(route(f"more-{n}", "safe") for n in range(n_more_routes)),
        ],
        "Backends": [
            *(
                {"Name": name, "HealthCheck": "/h"}
                for name in (SERVICE, LIMITED_SERVICE, BRITTLE_SERVICE)
            ),
            {"Name": COLD_SERVICE, "HealthCheck": "/h", "WarmupPerS": COLD_RATE},
        ],
    }
    return msgspec.json.encode(body)
