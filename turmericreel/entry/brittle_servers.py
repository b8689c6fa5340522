"""Keeps attempts at brittle servers within this instance's places there."""

from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from random import Random

from eliot import log_message

from turmericreel.decisions.server_places import ServerPlaces, parse_max_refusals
from turmericreel.model.ids import BackendServerId, InstanceId, ServiceName
from turmericreel.model.servers import BackendServer
from turmericreel.util.clock import Clock

MAX_LOGGED_HEADER = 64


class BrittleServers:
    """Attempts of this instance at servers, and its places at brittle ones.

    Parameters
    ----------
    instance : InstanceId
    instances : callable
        Returns all entry instances.
    servers : callable
        Returns all backend servers by id.
    clock : Clock
    rng : Random

    Attributes
    ----------
    places : ServerPlaces
    n_running : Counter of BackendServerId
    """

    def __init__(
        self,
        *,
        instance: InstanceId,
        instances: Callable[[], Iterable[InstanceId]],
        servers: Callable[[], Mapping[BackendServerId, BackendServer]],
        clock: Clock,
        rng: Random,
    ):
        self.places = ServerPlaces(instance=instance, gateways=instances, rng=rng)
        self.servers = servers
        self.clock = clock
        self.n_running: Counter[BackendServerId] = Counter()

    def record_header(self, server: BackendServer, text: str) -> None:
        """Record that a server said how many refusals it bears; empty if it did not."""
        if not text:
            return
        max_refusals = parse_max_refusals(text)
        if max_refusals is None:
            log_message(
                "entry:brittle_invalid",
                server=server.server,
                named=text[:MAX_LOGGED_HEADER],
            )
            return
        now = self.clock.monotonic()
        if self.places.record_heard(server.service, max_refusals, now=now):
            log_message(
                "entry:brittle",
                service=server.service,
                server=server.server,
                max_refusals=max_refusals,
                n_places=sum(self._own_places(server.service).values()),
            )

    def may_send(self, server: BackendServer) -> bool:
        """Return whether an attempt at a server may begin now."""
        now = self.clock.monotonic()
        if not self.places.is_brittle(server.service, now=now):
            return True
        return self.places.may_send(
            server.server,
            server.service,
            places=self._own_places(server.service),
            n_running=self.n_running.__getitem__,
            now=now,
        )

    def begin(self, server: BackendServer) -> None:
        """Count an attempt that begins."""
        now = self.clock.monotonic()
        if self.places.is_brittle(server.service, now=now):
            own = self._own_places(server.service)
            self.places.record_sent(server.service, places=own, now=now)
        self.n_running[server.server] += 1

    def end(self, server: BackendServer, *, was_refused: bool) -> None:
        """Count the end of an attempt."""
        self.n_running[server.server] -= 1
        if self.n_running[server.server] <= 0:
            del self.n_running[server.server]
        if not was_refused:
            self.places.record_answer(server.server)
            return
        self.places.drop_unregistered(set(self.servers()))
        own = self._own_places(server.service)
        pause_s = self.places.record_refusal(
            server.server, server.service, now=self.clock.monotonic()
        )
        log_message(
            "entry:refused_for_room",
            server=server.server,
            service=server.service,
            n_places=sum(own.values()),
            n_places_here=own.get(server.server, 0),
            n_held_here=self.n_running[server.server],
            n_instances=self.places.n_gateways(),
            pause_ms=int(pause_s * 1_000),
        )

    def _own_places(self, service: ServiceName) -> dict[BackendServerId, int]:
        servers = self.servers()
        return self.places.places(
            {s.server: s.capacity for s in servers.values() if s.service == service}
        )
