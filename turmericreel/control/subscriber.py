"""A subscriber's stream, with a task that sends the changes it does not have yet."""

from gevent import sleep, spawn
from gevent.event import Event
from gevent.lock import Semaphore
from gevent.timeout import Timeout

from turmericreel.control.directory import Directory
from turmericreel.control.lease_book import HolderKey
from turmericreel.control.registry_pushes import RegistryPushes
from turmericreel.control.sources import StateSource
from turmericreel.control.text_pushes import TextPushes
from turmericreel.decisions.subset import SubsetSizes
from turmericreel.model.failures import FailureError
from turmericreel.model.ids import Revision
from turmericreel.protocols.control_messages import (
    Hello,
    InstanceInfo,
    Message,
    SubscriberRole,
)
from turmericreel.protocols.frames import FrameStream
from turmericreel.util.clock import Clock

BATCH_DELAY_S = 0.005
SEND_TIMEOUT_S = 2.0
MAX_CALLS = 1_024


class Subscriber:
    """Sending side of one subscriber's stream, with its task.

    Changes that accumulate while a send blocks are combined, so a slow subscriber
    neither delays others nor needs a queue.

    Parameters
    ----------
    hello : Hello
    stream : FrameStream
    source : callable
        Returns the current `StateSource`.
    texts : TextPushes
    directory : Directory
    sizes : SubsetSizes
    clock : Clock
    """

    def __init__(
        self,
        *,
        hello: Hello,
        stream: FrameStream,
        source,
        texts: TextPushes,
        directory: Directory,
        sizes: SubsetSizes,
        clock: Clock,
    ):
        self.hello = hello
        self.stream = stream
        self.source = source
        self.texts = texts
        self.directory = directory
        self.registry = RegistryPushes(hello=hello, sizes=sizes, clock=clock)
        self.confirmed = Revision(0)
        self.sent_revision = Revision(0)
        self.leaving = hello.leaving
        self.n_calls = 0
        self.instances_index: int | None = None
        self.lock = Semaphore()
        self.push_requested = Event()
        self.task = spawn(self._push_loop)

    @property
    def key(self) -> HolderKey:
        """Instance and incarnation of the subscriber."""
        return HolderKey(self.hello.instance, self.hello.incarnation)

    @property
    def is_relay(self) -> bool:
        """Whether this subscriber relays the state to subscribers of its own."""
        return self.hello.role is SubscriberRole.RELAY

    def info(self) -> InstanceInfo:
        """Return the directory entry of this subscriber, as sent to other instances."""
        return InstanceInfo(
            instance=self.hello.instance,
            data_centre=self.hello.data_centre,
            http_address=self.hello.http_address,
            incarnation=self.hello.incarnation,
            load_address=self.hello.load_address,
            leaving=self.leaving,
        )

    def close(self) -> None:
        """Stop the push task and close the stream."""
        self.task.kill(block=False)
        self.stream.close()

    def request_push(self) -> None:
        """Have the push task send the pending changes."""
        self.push_requested.set()

    def send(self, message: Message) -> None:
        """Send a message.

        If the stream is lost, or the send takes longer than `SEND_TIMEOUT_S`, the
        stream is closed, which ends its read loop.
        """
        try:
            with Timeout(SEND_TIMEOUT_S):
                self.stream.send(message)
        except (FailureError, Timeout):
            self.stream.close()

    def flush(self) -> None:
        """Send all pending changes before returning.

        A lease granted afterwards reaches the subscriber after these changes, and is
        of use only to one that has applied them.
        """
        with self.lock:
            source: StateSource = self.source()
            # A text sent on this stream but not yet confirmed is not sent again.
            base = max(self.confirmed, self.sent_revision)
            text = self.texts.push(source, base)
            if text is not None:
                self.sent_revision = text.revision
                self.send(text)
            servers = self.registry.next_push(source.registry())
            if servers is not None:
                self.send(servers)
            instances = self.directory.push_since(self.instances_index)
            if instances is not None:
                self.instances_index = self.directory.feed.index
                self.send(instances)

    def resend_text(self) -> None:
        """Send the whole text, after the subscriber could not apply a delta."""
        with self.lock:
            source: StateSource = self.source()
            text = self.texts.push(source, Revision(-1))
            if text is not None:
                self.sent_revision = text.revision
                self.send(text)

    def _push_loop(self) -> None:
        while True:
            self.push_requested.wait()
            sleep(BATCH_DELAY_S)
            self.push_requested.clear()
            self.flush()
