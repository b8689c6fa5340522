"""Minimal client of control instances, for measurements."""

import contextlib
from itertools import count

from gevent import sleep, spawn
from gevent.event import AsyncResult
from gevent.socket import create_connection
from gevent.timeout import Timeout

from turmericreel.model.failures import CommitUnknown, FailureError, failure_from_wire
from turmericreel.model.ids import DataCentreId, Incarnation, InstanceId
from turmericreel.protocols.addresses import parse_address
from turmericreel.protocols.control_messages import (
    Answered,
    Hello,
    Propose,
    Query,
    QueryAnswered,
    Redirected,
    Refused,
    SubscriberRole,
    ToInstance,
)
from turmericreel.protocols.frames import FrameStream
from turmericreel.state.commands.union import Command

ANSWER_TIMEOUT_S = 10.0
FIND_LEADER_TIMEOUT_S = 30.0


class ControlStream:
    """A stream to one control instance, on which several calls may be pending."""

    def __init__(self, address: str, *, name: str, role=SubscriberRole.ENTRY):
        parsed = parse_address(address)
        sock = create_connection((parsed.host, parsed.port), timeout=1.0)
        sock.settimeout(None)
        self.stream = FrameStream(sock=sock, message_type=ToInstance)
        self.calls: dict[int, AsyncResult] = {}
        self.numbers = count(1)
        self.redirected = False
        self.stream.send(
            Hello(
                instance=InstanceId(name),
                incarnation=Incarnation(1),
                data_centre=DataCentreId("local"),
                http_address="",
                role=role,
            )
        )
        self.reader = spawn(self._read)

    def propose(self, command: Command):
        """Propose a command and return its result once it is committed.

        Raises
        ------
        FailureError
            If the command was refused, or with `CommitUnknown` if the stream was lost.
        """
        return self._call(lambda n: Propose(call=n, command=command))

    def query(self, what: str, **arguments: str) -> bytes:
        """Send a query and return the encoded answer."""
        return self._call(lambda n: Query(call=n, what=what, arguments=arguments))

    def close(self) -> None:
        """Close the stream."""
        self.reader.kill()
        self.stream.close()

    def _call(self, build):
        number = next(self.numbers)
        answer = self.calls[number] = AsyncResult()
        try:
            self.stream.send(build(number))
            return answer.get(timeout=ANSWER_TIMEOUT_S)
        finally:
            self.calls.pop(number, None)

    def _read(self) -> None:
        with contextlib.suppress(FailureError):
            while (message := self.stream.receive()) is not None:
                self._handle(message)
        for answer in list(self.calls.values()):
            answer.set_exception(FailureError(CommitUnknown(detail="stream lost")))

    def _handle(self, message) -> None:
        match message:
            case Answered(call=n, result=result) if n in self.calls:
                self.calls[n].set(result)
            case QueryAnswered(call=n, value=value) if n in self.calls:
                self.calls[n].set(value)
            case Refused(call=n, failure=failure) if n in self.calls:
                self.calls[n].set_exception(FailureError(failure_from_wire(failure)))
            case Redirected():
                self.redirected = True


def find_leader(control: dict[str, str]) -> str:
    """Return the name of the leader, found by probes as a relay.

    Only the leader admits relays; the other instances redirect them.
    """
    with Timeout(FIND_LEADER_TIMEOUT_S):
        while True:
            for name, address in control.items():
                if _is_leader(address):
                    return name
            sleep(0.05)


def _is_leader(address: str) -> bool:
    try:
        stream = ControlStream(address, name="probe/relay", role=SubscriberRole.RELAY)
    except OSError:
        return False
    try:
        with Timeout(1.0):
            stream.query("current_text")
        return not stream.redirected
    except (FailureError, Timeout):
        return False
    finally:
        stream.close()
