"""Connections from gateways and other coordinators to a coordinator."""

from collections.abc import Callable

from eliot import log_message
from gevent import Greenlet, sleep, spawn
from gevent.server import StreamServer
from gevent.socket import create_connection

from turmericreel.coordinator.hub import Hub, Session
from turmericreel.model.failures import FailureError
from turmericreel.model.ids import InstanceId
from turmericreel.protocols.addresses import Address, parse_address
from turmericreel.protocols.frames import FrameStream
from turmericreel.protocols.routing_messages import (
    Beat,
    CoordinatorHello,
    GatewayHello,
    GatewayPlaces,
    Gateways,
    GatewayStatus,
    GatewayWork,
    RoutingMessage,
    ServerCrashes,
    Servers,
    ToCoordinator,
    ToGateway,
    size_of_message,
)
from turmericreel.protocols.sockets import set_unacknowledged_timeout
from turmericreel.util.bounded_queue import BoundedQueue

MAX_QUEUED_MESSAGES = 1_024
MAX_QUEUED_BYTES = 8 * 1024 * 1024
# Instances report every 0.5 s, so this tolerates several lost reports.
IDLE_TIMEOUT_S = 1.8
CONNECT_TIMEOUT_S = 1.0
RECONNECT_PAUSE_S = 0.3
PEER_HEARTBEAT_INTERVAL_S = 0.5


class StreamSession(Session):
    """Send queue of a stream, with a task that writes its messages.

    Parameters
    ----------
    stream : FrameStream
    """

    def __init__(self, *, stream: FrameStream):
        self.stream = stream
        self.queue = BoundedQueue(
            max_items=MAX_QUEUED_MESSAGES,
            max_bytes=MAX_QUEUED_BYTES,
            size_of=size_of_message,
        )
        self.task = spawn(self._write)

    def send(self, message: RoutingMessage) -> None:
        """Queue a message; close the stream if its queue is full."""
        if not self.queue.put(message):
            log_message("coordinator:slow_session", dropped=type(message).__name__)
            self.stream.close()

    def stop(self) -> None:
        """Stop the writing task."""
        self.task.kill()

    def _write(self) -> None:
        try:
            while True:
                self.stream.send(self.queue.get())
        except FailureError:
            # The reader of the same stream detects the failure and logs the reason.
            pass
        finally:
            # A receiver must not take a stream for complete that is no longer written.
            self.stream.close()


class SessionListener:
    """Accepts and serves connections from gateways and other coordinators.

    Parameters
    ----------
    address : Address
    hub : Hub
    on_coordinator_connected : callable
        Called with the id of each coordinator that connects.
    """

    def __init__(
        self,
        *,
        address: Address,
        hub: Hub,
        on_coordinator_connected: Callable[[InstanceId], None],
    ):
        self.hub = hub
        self.on_coordinator_connected = on_coordinator_connected
        self.server = StreamServer((address.host, address.port), self._serve)
        self.streams: set[FrameStream] = set()

    def start(self) -> None:
        """Start listening."""
        self.server.start()

    def stop(self) -> None:
        """Stop listening and close all streams."""
        self.server.stop(timeout=0)
        for stream in list(self.streams):
            stream.close()

    def _serve(self, sock, peer) -> None:
        set_unacknowledged_timeout(sock)
        stream = FrameStream(
            sock=sock, message_type=ToCoordinator, idle_timeout_s=IDLE_TIMEOUT_S
        )
        self.streams.add(stream)
        try:
            match stream.receive():
                case GatewayHello() as hello:
                    self._serve_gateway(stream, hello)
                case CoordinatorHello() as hello:
                    self._serve_coordinator(stream, hello)
        except FailureError as error:
            log_message(
                "coordinator:session_lost",
                peer=peer[0],
                reason=error.failure.describe(),
            )
        finally:
            self.streams.discard(stream)
            stream.close()

    def _serve_gateway(self, stream: FrameStream, hello: GatewayHello) -> None:
        session = StreamSession(stream=stream)
        self.hub.add_gateway(hello.gateway, session)
        try:
            while (message := stream.receive()) is not None:
                match message:
                    case GatewayStatus():
                        self.hub.receive_status(message, session)
                    case GatewayWork():
                        instance = hello.gateway.instance
                        self.hub.receive_work(instance, message, session)
                    case GatewayPlaces():
                        instance = hello.gateway.instance
                        self.hub.receive_places(instance, message.report, session)
                    case ServerCrashes():
                        self.hub.receive_crashes(message.crashes)
        finally:
            session.stop()
            self.hub.remove_gateway(hello.gateway.instance, session)

    def _serve_coordinator(self, stream: FrameStream, hello: CoordinatorHello) -> None:
        self.on_coordinator_connected(hello.instance)
        try:
            while (message := stream.receive()) is not None:
                match message:
                    case Servers():
                        self.hub.receive_peer_servers(message.servers)
                    case ServerCrashes():
                        self.hub.receive_peer_crashes(message.crashes)
                    case Gateways():
                        self.hub.receive_peer_gateways(hello.instance, message)
        finally:
            self.hub.drop_peer_gateways(hello.instance)


class PeerSession(Session):
    """Keeps a connection to one other coordinator, and reconnects it.

    Parameters
    ----------
    instance : InstanceId
        The other coordinator.
    own_instance : InstanceId
        This coordinator.
    address : str
    hub : Hub
    heartbeat : callable
        Returns the current heartbeat message.
    """

    def __init__(
        self,
        *,
        instance: InstanceId,
        own_instance: InstanceId,
        address: str,
        hub: Hub,
        heartbeat: Callable[[], Beat],
    ):
        self.instance = instance
        self.own_instance = own_instance
        self.address = parse_address(address)
        self.hub = hub
        self.heartbeat = heartbeat
        self.stream_session: StreamSession | None = None
        self.task: Greenlet = spawn(self._run)

    def send(self, message: RoutingMessage) -> None:
        """Queue a message; drop it while there is no connection."""
        if self.stream_session is not None:
            self.stream_session.send(message)

    def stop(self) -> None:
        """Stop the task and close the connection."""
        self.task.kill()

    def _run(self) -> None:
        while True:
            try:
                self._serve()
            except (OSError, FailureError) as error:
                if self.stream_session is not None:
                    log_message(
                        "coordinator:peer_lost", peer=self.instance, reason=str(error)
                    )
            finally:
                self.hub.remove_peer(self.instance)
                if self.stream_session is not None:
                    self.stream_session.stop()
                    self.stream_session = None
            sleep(RECONNECT_PAUSE_S)

    def _serve(self) -> None:
        sock = create_connection(
            (self.address.host, self.address.port), timeout=CONNECT_TIMEOUT_S
        )
        set_unacknowledged_timeout(sock)
        stream = FrameStream(sock=sock, message_type=ToGateway)
        try:
            stream.send(CoordinatorHello(instance=self.own_instance))
            self.stream_session = StreamSession(stream=stream)
            self.hub.add_peer(self.instance, self)
            log_message("coordinator:peer_connected", peer=self.instance)
            while not self.stream_session.task.dead:
                self.send(self.heartbeat())
                sleep(PEER_HEARTBEAT_INTERVAL_S)
        finally:
            stream.close()
