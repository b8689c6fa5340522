"""What a coordinator spreads grows with what changed, not with how much there is."""

import msgspec

from test.routing.library import make_server
from turmericreel.coordinator.hub import Hub, Session
from turmericreel.decisions.server_health import ServerOutcomes
from turmericreel.membership.instance_registry import GatewayInstance
from turmericreel.membership.server_registry import ServerRegistry
from turmericreel.protocols.routing_messages import (
    Beat,
    Gateways,
    GatewayStatus,
    GatewayWork,
    ServerWork,
)
from turmericreel.state.routing_machine import RoutingMachine

N_GATEWAYS = 80


class RecordingSession(Session):
    def __init__(self):
        self.messages = []

    def send(self, message):
        self.messages.append(message)

    def take(self):
        taken, self.messages = self.messages, []
        return taken


def make_hub():
    return Hub(
        instance="c1",
        machine=RoutingMachine(),
        registry=ServerRegistry(expiry_s=4.0),
        beat=lambda: Beat(coordinators=("c1",), leader="c1", term=1),
        now=lambda: 0.0,
    )


def make_gateway(number, *, takes_clients=False):
    return GatewayInstance(
        instance=f"10.0.0.{number}:80",
        data_centre="a",
        client_address=f"10.0.0.{number}:80",
        incarnation=1,
        takes_clients=takes_clients,
    )


def join(hub, number):
    session = RecordingSession()
    hub.add_gateway(make_gateway(number), session)
    return session


def test_many_gateways_that_become_ready_at_once_are_told_of_in_one_message():
    hub = make_hub()
    sessions = [join(hub, n) for n in range(N_GATEWAYS)]
    hub.spread_changes()
    for session in sessions:
        session.take()
    for number, session in enumerate(sessions):
        gateway = make_gateway(number, takes_clients=True)
        hub.hear_status(GatewayStatus(gateway=gateway, revision=1), session)
    hub.spread_changes()
    for session in sessions:
        (message,) = session.take()
        assert len(message.gateways) == N_GATEWAYS
        assert len(msgspec.msgpack.encode(message)) < 100 * N_GATEWAYS


def test_one_that_is_lost_is_told_of_alone():
    hub = make_hub()
    sessions = [join(hub, n) for n in range(3)]
    hub.spread_changes()
    sessions[1].take()
    hub.remove_gateway(make_gateway(0).instance, sessions[0])
    hub.spread_changes()
    (message,) = sessions[1].take()
    lost = make_gateway(0).instance
    assert message == Gateways(gateways=(), complete=False, lost=(lost,))


def test_a_gateway_that_connects_is_told_everything():
    hub = make_hub()
    hub.hear_server(make_server())
    join(hub, 1)
    kinds = [type(m).__name__ for m in join(hub, 2).take()]
    assert kinds == ["Beat", "Servers", "Rollouts", "Gateways"]


def test_a_gateway_that_a_peer_still_hears_is_not_lost():
    hub = make_hub()
    watching, leaving = join(hub, 1), join(hub, 2)
    ready = make_gateway(2, takes_clients=True)
    hub.hear_status(GatewayStatus(gateway=ready, revision=1), leaving)
    hub.hear_gateways_of_peer("c2", Gateways(gateways=(ready,), complete=True))
    hub.spread_changes()
    watching.take()
    hub.remove_gateway(ready.instance, leaving)
    hub.spread_changes()
    (message,) = watching.take()
    assert message.gateways == (ready,)
    hub.forget_peer("c2")
    hub.spread_changes()
    (message,) = watching.take()
    assert message.lost == (ready.instance,)


def test_a_gateway_that_only_a_peer_lost_still_takes_clients():
    hub = make_hub()
    watching, staying = join(hub, 1), join(hub, 2)
    ready = make_gateway(2, takes_clients=True)
    hub.hear_status(GatewayStatus(gateway=ready, revision=1), staying)
    hub.hear_gateways_of_peer("c2", Gateways(gateways=(ready,), complete=True))
    hub.spread_changes()
    watching.take()
    peer = make_hub()
    told = RecordingSession()
    lost_there = join(peer, 2)
    peer.hear_status(GatewayStatus(gateway=ready, revision=1), lost_there)
    peer.add_peer("c1", told)
    peer.spread_changes()
    peer.remove_gateway(ready.instance, lost_there)
    peer.spread_changes()
    for message in told.take():
        if isinstance(message, Gateways):
            hub.hear_gateways_of_peer("c2", message)
    hub.spread_changes()
    (message,) = watching.take()
    assert message.gateways == (ready,)


def test_only_the_leader_spreads_what_servers_do_for_all():
    """An earlier leader's sums and suspensions would replace the newer ones."""
    hub = make_hub()
    sessions = [join(hub, n) for n in range(2)]
    failed = ServerOutcomes(n_failed=5)
    for n, session in enumerate(sessions):
        work = GatewayWork(work_ms={}, outcomes={"s1": failed})
        hub.hear_work(make_gateway(n).instance, work, session)
    for name in ("s1", "s2", "s3"):
        hub.hear_server(make_server(name))
    for session in sessions:
        session.take()
    hub.spread_work()
    assert sessions[0].take() == [ServerWork(work_ms={}, suspended=("s1",))]
    hub.beat = lambda: Beat(coordinators=("c1", "c2"), leader="c2", term=2)
    hub.spread_work()
    assert sessions[0].take() == []
