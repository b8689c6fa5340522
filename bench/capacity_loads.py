"""Measures the exchange of load reports and the pooling of evidence on versions.

An asker is an instance that has requested load reports from the home of a server.
"""

from random import Random

import msgspec

from bench.slopes import Slope, cpu_seconds_per_call, fit
from bench.stand_ins import backend_server, instance_info
from turmericreel.control.evidence import EvidencePool
from turmericreel.coordination.control_view import ControlView
from turmericreel.coordination.load_exchange import LoadExchange, bind_datagrams
from turmericreel.model.ids import (
    DataCentreId,
    Incarnation,
    InstanceId,
)
from turmericreel.model.servers import LoadReport
from turmericreel.protocols.addresses import Address
from turmericreel.protocols.control_messages import (
    Hello,
    ServerPresent,
    ServersPush,
)
from turmericreel.protocols.evidence_messages import EvidenceItem, EvidenceReport
from turmericreel.util.clock import ManualClock

ASKER_COUNTS = (2, 4, 8, 16)
EVIDENCE_ITEM_COUNTS = (35, 70, 140, 280)
N_HOMED_SERVERS = 7
RECEIVE_BUFFER_BYTES = 8_192


class CountingSocket:
    """Socket that sends every datagram to one sink on loopback and counts bytes."""

    def __init__(self):
        self.sink = bind_datagrams(Address(host="127.0.0.1", port=0))
        self.out = bind_datagrams(Address(host="127.0.0.1", port=0))
        self.n_bytes = 0
        self.n_sent = 0
        self.last = b""

    def sendto(self, datagram: bytes, address) -> None:
        """Send a datagram to the sink, whatever its address, and count it."""
        self.out.sendto(datagram, self.sink.getsockname())
        self.n_bytes += len(datagram)
        self.n_sent += 1
        self.last = datagram


class ClientStub:
    """Stand-in for a control client, of which the exchange uses `hello` and `view`."""

    def __init__(self, name: str, view: ControlView):
        self.hello = Hello(
            instance=InstanceId(name),
            incarnation=Incarnation(1),
            data_centre=DataCentreId("centre-0"),
            http_address="",
        )
        self.view = view


def load_slopes() -> dict[str, Slope]:
    """Measure sending and receiving load digests against the number of askers."""
    answer, n_bytes, receive = [], [], []
    for n_askers in ASKER_COUNTS:
        clock, sock = ManualClock(now=100.0), CountingSocket()
        home = _make_exchange("entry-000", clock, sock, n_askers)
        for n in range(1, n_askers + 1):
            asker = _make_exchange(f"entry-{n:03}", clock, CountingSocket(), n_askers)
            asker.send_interests()
            home.receive(asker.socket.last, (f"10.1.0.{n}", 7084))
        answer.append(
            cpu_seconds_per_call(lambda h=home, c=clock: _run_one_second(h, c)) * 1e6
        )
        sock.n_bytes = 0
        _run_one_second(home, clock)
        n_bytes.append(sock.n_bytes)
        receive.append(
            n_askers
            * cpu_seconds_per_call(lambda a=asker, k=sock: _receive_digest(a, k))
            * 1e6
        )
    askers = list(ASKER_COUNTS)
    return {
        "home's answers a second, us by askers": fit(askers, answer),
        "home's answers a second, bytes by askers": fit(askers, n_bytes),
        "digests received a second, us by homes": fit(askers, receive),
    }


def _receive_digest(asker: LoadExchange, sock: CountingSocket) -> None:
    """Send one digest over loopback, receive it and apply it."""
    sock.sink.sendto(sock.last, sock.sink.getsockname())
    asker.receive(sock.sink.recv(RECEIVE_BUFFER_BYTES), ("10.1.0.0", 7084))


def _make_exchange(
    name: str, clock: ManualClock, sock: CountingSocket, n: int
) -> LoadExchange:
    view = ControlView()
    view.apply_servers(
        ServersPush(
            since=0,
            index=1,
            present=tuple(
                ServerPresent(server=backend_server(k), home=InstanceId("entry-000"))
                for k in range(N_HOMED_SERVERS)
            ),
            whole=True,
        )
    )
    for k in range(n + 1):
        info = instance_info(k)
        view.directory[info.instance] = info
    return LoadExchange(
        sock=sock,
        control=ClientStub(name, view),
        report_load=lambda report, made_at: None,
        clock=clock,
        rng=Random(1),
    )


def _run_one_second(home: LoadExchange, clock: ManualClock) -> None:
    clock.advance(0.001)
    for n in range(N_HOMED_SERVERS):
        server = backend_server(n)
        home.publish(
            LoadReport(
                server=server.server,
                incarnation=server.incarnation,
                running=n,
                waiting=1,
                cache_blocks_used=0.5,
            )
        )
    home.send_digests()


def evidence_slopes() -> dict[str, Slope]:
    """Measure encoding and pooling of evidence against the number of items."""
    n_bytes, pooled = [], []
    for n_items in EVIDENCE_ITEM_COUNTS:
        items = tuple(evidence_item(n) for n in range(n_items))
        report = EvidenceReport(items=items)
        encoded = msgspec.msgpack.encode(report)
        n_bytes.append(len(encoded))
        pool = EvidencePool(clock=ManualClock(now=100.0))
        decoder = msgspec.msgpack.Decoder(EvidenceReport)
        pooled.append(
            cpu_seconds_per_call(
                lambda p=pool, d=decoder, e=encoded: p.add(d.decode(e))
            )
            * 1e3
        )
    items = list(EVIDENCE_ITEM_COUNTS)
    return {
        "evidence on the wire, bytes by items": fit(items, n_bytes),
        "evidence pooled, ms by items": fit(items, pooled),
    }


def evidence_item(n: int) -> EvidenceItem:
    """Return the evidence item of one answer of server number `n`."""
    server = backend_server(n)
    return EvidenceItem(
        service=server.service,
        version=server.versions[0],
        server=server.server,
        n_answers=1,
        first_token_ms_sum=211.5,
        first_token_counts=(0, 0, 1),
    )
