"""Streams between the members of replicated logs.

Each pair of instances has one stream per direction and group.  Messages may be lost,
for example when a queue is full or a stream breaks; Raft sends them again.
"""

import contextlib
from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable

from eliot import log_message
from gevent import sleep, spawn
from gevent.queue import Empty
from gevent.server import StreamServer
from gevent.socket import create_connection, socket
from gevent.ssl import SSLContext
from gevent.timeout import Timeout

from turmericreel.model.failures import FailureError
from turmericreel.model.ids import InstanceId
from turmericreel.protocols.addresses import Address, parse_address
from turmericreel.protocols.frames import FrameStream
from turmericreel.protocols.raft_messages import (
    Introduction,
    PeerMessage,
    RaftHello,
    RaftMessage,
    ToPeer,
    size_of_message,
)
from turmericreel.protocols.sockets import set_unacknowledged_timeout
from turmericreel.protocols.tls import accept_tls, connect_tls
from turmericreel.util.bounded_queue import BoundedQueue

CONNECT_TIMEOUT_S = 1.0
RECONNECT_PAUSE_S = 0.05
HELLO_TIMEOUT_S = 5.0
KEEPALIVE_S = 1.0
MAX_QUEUED_MESSAGES = 256
MAX_QUEUED_BYTES = 8 * 1024 * 1024

DeliverCallback = Callable[[RaftMessage | Introduction], None]


class Transport(ABC):
    """Sends messages between the members of one group."""

    @property
    @abstractmethod
    def peers(self) -> set[InstanceId]:
        """The other instances of the group."""

    @abstractmethod
    def start(self, deliver: DeliverCallback) -> None:
        """Start sending, and passing received messages to `deliver`."""

    @abstractmethod
    def stop(self) -> None:
        """Stop all tasks."""

    @abstractmethod
    def send(self, instance: InstanceId, message: RaftMessage | Introduction) -> None:
        """Queue a message without waiting; it may be lost."""


class PeerLink:
    """Task that owns the outgoing stream to one peer, and reconnects it.

    Parameters
    ----------
    address : str
        Address of the peer's listener.
    hello : RaftHello
        First message on each connection.
    context : SSLContext or None
        None without TLS.
    """

    def __init__(self, *, address: str, hello: RaftHello, context: SSLContext | None):
        self.address = parse_address(address)
        self.context = context
        self.hello = hello
        self.queue = BoundedQueue(
            max_items=MAX_QUEUED_MESSAGES,
            max_bytes=MAX_QUEUED_BYTES,
            size_of=size_of_message,
        )
        self.task = spawn(self._run)

    def send(self, message: RaftMessage | PeerMessage) -> None:
        """Queue a message, or drop it if the queue is full."""
        self.queue.put(message)

    def stop(self) -> None:
        """Stop the task, which closes the stream."""
        self.task.kill()

    def _run(self) -> None:
        while True:
            with contextlib.suppress(OSError, FailureError):
                self._serve_connection()
            self.queue.clear()
            sleep(RECONNECT_PAUSE_S)

    def _serve_connection(self) -> None:
        address = (self.address.host, self.address.port)
        sock = create_connection(address, timeout=CONNECT_TIMEOUT_S)
        set_unacknowledged_timeout(sock)
        sock = connect_tls(sock, self.context, host=self.address.host)
        sock.settimeout(None)
        stream = FrameStream(sock=sock, message_type=ToPeer)
        watcher = spawn(self._close_on_disconnect, sock, stream)
        try:
            stream.send(self.hello)
            while True:
                stream.send(self._next_message())
        finally:
            watcher.kill()
            stream.close()

    def _close_on_disconnect(self, sock: socket, stream: FrameStream) -> None:
        # The peer sends nothing on this stream: a read returns when it is closed.
        with contextlib.suppress(OSError):
            sock.recv(1)
        stream.close()
        # Wakes the sending task, which then fails on the closed stream; `hello` may be
        # lost without harm.
        self.send(self.hello)

    def _next_message(self) -> RaftMessage | PeerMessage:
        # Without keep-alives, the loss of a peer on an idle link is noticed only when a
        # message is lost, which may be a vote request.
        try:
            return self.queue.get(timeout=KEEPALIVE_S)
        except Empty:
            return self.hello


class PeerListener:
    """Task that accepts streams of peers, for all groups of an instance.

    Parameters
    ----------
    address : Address
    context : SSLContext or None
        None without TLS.
    """

    def __init__(self, *, address: Address, context: SSLContext | None = None):
        self.context = context
        self.server = StreamServer((address.host, address.port), self._serve)
        self.deliver: dict[int, DeliverCallback] = {}
        self.streams: set[FrameStream] = set()

    def start(self) -> None:
        """Start listening."""
        self.server.start()

    def stop(self) -> None:
        """Stop listening and close all streams."""
        self.server.stop(timeout=0)
        for stream in list(self.streams):
            stream.close()

    @property
    def port(self) -> int:
        """Port that the listener is bound to."""
        return self.server.server_port

    def _serve(self, sock, peer) -> None:
        try:
            sock = accept_tls(sock, self.context, timeout_s=HELLO_TIMEOUT_S)
            sock.settimeout(None)
            self._serve_stream(FrameStream(sock=sock, message_type=ToPeer))
        except FailureError as error:
            log_message("raft:stream_lost", failure=error.failure.describe())

    def _serve_stream(self, stream: FrameStream) -> None:
        self.streams.add(stream)
        try:
            self._read_stream(stream)
        finally:
            self.streams.discard(stream)
            stream.close()

    def _read_stream(self, stream: FrameStream) -> None:
        hello = None
        with Timeout(HELLO_TIMEOUT_S, False):
            hello = stream.receive()
        if not isinstance(hello, RaftHello) or hello.group not in self.deliver:
            return
        while (message := stream.receive()) is not None:
            deliver = self.deliver.get(hello.group)
            if deliver is None:
                return
            if not isinstance(message, RaftHello):
                deliver(message)


class StreamTransport(Transport):
    """Transport over streams between the instances of one group.

    Parameters
    ----------
    group : int
    instance : InstanceId
        This instance.
    addresses : dict of InstanceId to str
        Addresses of all instances' peer listeners; this instance's own is ignored.
    listener : PeerListener or None
        None if there are no other instances.
    context : SSLContext or None
        None without TLS.
    """

    def __init__(
        self,
        *,
        group: int,
        instance: InstanceId,
        addresses: dict[InstanceId, str],
        listener: PeerListener | None,
        context: SSLContext | None = None,
    ):
        self.group = group
        self.context = context
        self.instance = instance
        self.addresses = {i: a for i, a in addresses.items() if i != instance}
        self.listener = listener
        self.links: dict[InstanceId, PeerLink] = {}

    @property
    def peers(self) -> set[InstanceId]:
        """The other instances of the group."""
        return set(self.addresses)

    def start(self, deliver: DeliverCallback) -> None:
        """Start sending, and passing received messages to `deliver`."""
        if self.listener is not None:
            self.listener.deliver[self.group] = deliver
        hello = RaftHello(group=self.group, instance=self.instance)
        self.links = {
            instance: PeerLink(address=address, hello=hello, context=self.context)
            for instance, address in self.addresses.items()
        }

    def stop(self) -> None:
        """Stop all tasks."""
        if self.listener is not None:
            self.listener.deliver.pop(self.group, None)
        for link in self.links.values():
            link.stop()

    def send(self, instance: InstanceId, message: RaftMessage | Introduction) -> None:
        """Queue a message without waiting; it may be lost."""
        link = self.links.get(instance)
        if link is not None:
            link.send(message)


class DiscoveringTransport(StreamTransport):
    """Stream transport whose peers are discovered while it runs.

    Parameters
    ----------
    address_of : callable
        Returns the address of an instance's Raft listener.
    seeds : set of InstanceId
        Instances named in the settings.
    """

    def __init__(
        self,
        *,
        group: int,
        instance: InstanceId,
        address_of: Callable[[InstanceId], str],
        seeds: set[InstanceId],
        listener: PeerListener | None,
    ):
        super().__init__(
            group=group, instance=instance, addresses={}, listener=listener
        )
        self.address_of = address_of
        self.known_peers = seeds - {instance}

    @property
    def peers(self) -> set[InstanceId]:
        """The other known instances; the member adds those that it discovers."""
        return self.known_peers

    def add_known_peers(self, instances: Iterable[InstanceId]) -> None:
        """Add instances that are named in the current settings."""
        self.known_peers |= set(instances) - {self.instance}

    def send(self, instance: InstanceId, message: RaftMessage | Introduction) -> None:
        """Queue a message without waiting, opening a stream if there is none."""
        if instance not in self.links:
            hello = RaftHello(group=self.group, instance=self.instance)
            self.links[instance] = PeerLink(
                address=self.address_of(instance), hello=hello, context=self.context
            )
        super().send(instance, message)
