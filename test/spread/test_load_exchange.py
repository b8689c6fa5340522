"""Load reports reach interested instances, and are accepted only from homes."""

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


class FakeNetwork:
    """A fake network that delivers datagrams by instance name."""

    def __init__(self):
        self.exchanges: dict[str, LoadExchange] = {}
        self.n_sent = 0

    def create_socket(self, name: str):
        """Return the socket of one instance."""
        return FakeSocket(name, self)


class FakeSocket:
    """A fake socket that delivers each datagram immediately."""

    def __init__(self, name: str, network: FakeNetwork):
        self.name = name
        self.network = network

    def sendto(self, datagram: bytes, address: tuple[str, int]) -> None:
        """Deliver a datagram to the exchange of the receiver."""
        self.network.n_sent += 1
        assert len(datagram) < 1_400
        self.network.exchanges[address[0]].receive(datagram, (self.name, PORT))


def build_exchanges(n_servers: int = 3):
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
    network = FakeNetwork()
    received: dict[str, list] = {name: [] for name in tree.entries}
    for name in tree.entries:
        network.exchanges[name] = LoadExchange(
            sock=network.create_socket(name),
            control=tree.nodes[name].client,
            report_load=lambda report, at, name=name: received[name].append(
                (report, at)
            ),
            clock=tree.clock,
            rng=Random(1),
        )
    return tree, network, received


def report(name: str, *, running: int, incarnation: int = 1) -> LoadReport:
    return LoadReport(
        server=BackendServerId(name),
        incarnation=Incarnation(incarnation),
        running=running,
        waiting=0,
    )


def test_reports_reach_interested_instances_with_their_age():
    tree, network, received = build_exchanges()
    home = network.exchanges["e1"]
    home.publish(report("s1", running=4))
    network.exchanges["e2"].send_interests()
    tree.clock.advance(0.5)
    home.send_digests()
    assert received["e2"] == [(report("s1", running=4), tree.clock.now - 0.5)]
    assert received["e3"] == []
    home.send_digests()
    assert len(received["e2"]) == 1
    home.publish(report("s1", running=5))
    home.send_digests()
    assert len(received["e2"]) == 2


def test_interest_expires():
    tree, network, received = build_exchanges()
    network.exchanges["e2"].send_interests()
    tree.clock.advance(INTEREST_VALID_S + 0.1)
    home = network.exchanges["e1"]
    home.publish(report("s1", running=4))
    home.send_digests()
    assert received["e2"] == []
    assert not home.interests


def test_reports_of_others_and_of_other_incarnations_are_dropped():
    tree, network, received = build_exchanges()
    impostor = network.exchanges["e3"]
    network.exchanges["e2"].send_interests()
    impostor.interests = network.exchanges["e1"].interests
    impostor.publish(report("s1", running=99))
    impostor.send_digests()
    home = network.exchanges["e1"]
    home.publish(report("s2", running=1, incarnation=7))
    home.send_digests()
    assert received["e2"] == []


def test_interest_with_forged_sender_is_dropped():
    _, network, _ = build_exchanges()
    home = network.exchanges["e1"]
    forged = LoadInterest(instance=InstanceId("e2"), servers=())
    home.receive(msgspec.msgpack.encode(forged), ("e3", PORT))
    home.receive(b"\xff\x00nonsense", ("e3", PORT))
    assert not home.interests


def test_many_servers_fit_in_small_datagrams():
    _, network, received = build_exchanges(n_servers=MAX_SERVERS_PER_INTEREST)
    home = network.exchanges["e1"]
    for n in range(MAX_SERVERS_PER_INTEREST):
        home.publish(report(f"s{n}", running=n))
    network.exchanges["e2"].send_interests()
    home.send_digests()
    n_known = len(network.exchanges["e2"].control.view.servers)
    assert len(received["e2"]) == n_known >= 40
