"""Load reports reach the instances that asked for them, and come from homes only."""

from random import Random

import msgspec

from test.spread.library import announce
from test.spread.tree import Tree
from turmericreel.coordination.load_exchange import (
    INTEREST_VALID_S,
    MAX_SERVERS_PER_INTEREST,
    LoadExchange,
)
from turmericreel.model.ids import BackendServerId, Incarnation, InstanceId
from turmericreel.model.servers import LoadReport
from turmericreel.protocols.load_messages import LoadInterest

PORT = 80


class Datagrams:
    """Stands for all the sockets; delivers by name."""

    def __init__(self):
        self.exchanges: dict[str, LoadExchange] = {}
        self.n_sent = 0

    def socket_of(self, name: str):
        """Return the socket of one instance."""
        return DatagramSocket(name, self)


class DatagramSocket:
    """Hands each datagram to its receiver at once."""

    def __init__(self, name: str, datagrams: Datagrams):
        self.name = name
        self.datagrams = datagrams

    def sendto(self, datagram: bytes, address: tuple[str, int]) -> None:
        """Deliver."""
        self.datagrams.n_sent += 1
        assert len(datagram) < 1_400
        self.datagrams.exchanges[address[0]].receive(datagram, (self.name, PORT))


def build(n_servers: int = 3):
    tree = Tree(controls=["c1"], relays=[], entries=["e1", "e2", "e3"])
    for name in tree.entries:
        client = tree.nodes[name].client
        client.hello = msgspec.structs.replace(
            client.hello, load_address=f"{name}:{PORT}"
        )
    tree.set_leader("c1")
    tree.connect_all()
    for n in range(n_servers):
        tree.commit(announce(f"s{n}", home="e1"))
    tree.settle()
    tree.renew_all()
    tree.renew_all()
    datagrams = Datagrams()
    heard: dict[str, list] = {name: [] for name in tree.entries}
    for name in tree.entries:
        datagrams.exchanges[name] = LoadExchange(
            sock=datagrams.socket_of(name),
            control=tree.nodes[name].client,
            report_load=lambda report, at, name=name: heard[name].append((report, at)),
            clock=tree.clock,
            rng=Random(1),
        )
    return tree, datagrams, heard


def report(name: str, *, running: int, incarnation: int = 1) -> LoadReport:
    return LoadReport(
        server=BackendServerId(name),
        incarnation=Incarnation(incarnation),
        running=running,
        waiting=0,
    )


def test_reports_reach_those_who_asked_with_their_age():
    tree, datagrams, heard = build()
    home = datagrams.exchanges["e1"]
    home.publish(report("s1", running=4))
    datagrams.exchanges["e2"].send_interests()
    tree.clock.advance(0.5)
    home.send_digests()
    assert heard["e2"] == [(report("s1", running=4), tree.clock.now - 0.5)]
    assert heard["e3"] == []
    home.send_digests()
    assert len(heard["e2"]) == 1
    home.publish(report("s1", running=5))
    home.send_digests()
    assert len(heard["e2"]) == 2


def test_interest_runs_out():
    tree, datagrams, heard = build()
    datagrams.exchanges["e2"].send_interests()
    tree.clock.advance(INTEREST_VALID_S + 0.1)
    home = datagrams.exchanges["e1"]
    home.publish(report("s1", running=4))
    home.send_digests()
    assert heard["e2"] == []
    assert not home.interests


def test_reports_of_others_and_of_old_incarnations_are_dropped():
    tree, datagrams, heard = build()
    impostor = datagrams.exchanges["e3"]
    datagrams.exchanges["e2"].send_interests()
    impostor.interests = datagrams.exchanges["e1"].interests
    impostor.publish(report("s1", running=99))
    impostor.send_digests()
    home = datagrams.exchanges["e1"]
    home.publish(report("s2", running=1, incarnation=7))
    home.send_digests()
    assert heard["e2"] == []


def test_interest_in_the_name_of_another_is_dropped():
    _, datagrams, _ = build()
    home = datagrams.exchanges["e1"]
    forged = LoadInterest(instance=InstanceId("e2"), servers=())
    home.receive(msgspec.msgpack.encode(forged), ("e3", PORT))
    home.receive(b"\xff\x00nonsense", ("e3", PORT))
    assert not home.interests


def test_many_servers_travel_in_small_datagrams():
    _, datagrams, heard = build(n_servers=MAX_SERVERS_PER_INTEREST)
    home = datagrams.exchanges["e1"]
    for n in range(MAX_SERVERS_PER_INTEREST):
        home.publish(report(f"s{n}", running=n))
    datagrams.exchanges["e2"].send_interests()
    home.send_digests()
    known = len(datagrams.exchanges["e2"].control.view.servers)
    assert len(heard["e2"]) == known >= 40
