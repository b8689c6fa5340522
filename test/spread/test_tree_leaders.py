"""Distribution during leader changes, relay restarts and instance losses."""

from gevent import sleep

from test.library import wait_until
from test.spread.library import live_instance_names, small_text
from test.spread.tree import LEASE_BOUND_S
from turmericreel.model.failures import SubmitConflict, failure_from_wire
from turmericreel.model.ids import Incarnation, InstanceId, Revision, SubmissionId
from turmericreel.protocols.control_messages import (
    Answered,
    Hello,
    Propose,
    Redirected,
    SubscriberRole,
)
from turmericreel.state.commands.base import Rejected
from turmericreel.state.commands.configuration import Submitted, SubmitText


def test_new_leader_waits_out_leases_of_previous_leader(tree):
    client = tree.nodes["e1"].client
    tree.cut("e1")
    tree.set_leader("c2")
    revision = tree.submit(small_text(2))
    assert client.lease_valid()
    assert not tree.leader.subscribers.in_force(revision).is_complete
    tree.clock.advance(LEASE_BOUND_S + 0.01)
    assert not client.lease_valid()
    assert tree.leader.subscribers.in_force(revision).is_complete


def test_deposed_leader_grants_no_lease(tree):
    tree.set_leader("c2")
    tree.submit(small_text(2))
    tree.clock.advance(LEASE_BOUND_S + 0.01)
    tree.exchange("e1")
    client = tree.nodes["e1"].client
    assert not client.lease_valid()
    tree.connect("c1", "c2")
    tree.settle()
    tree.renew_all()
    assert client.view.revision == 2
    assert client.lease_valid()


def make_submission(name: str, base: int, n: int) -> SubmitText:
    return SubmitText(
        submission=SubmissionId(name),
        base_revision=Revision(base),
        text=small_text(n),
    )


def test_second_submission_on_same_revision_conflicts(tree):
    assert tree.commit(make_submission("ana", 1, 10)) == Submitted(revision=Revision(2))
    refused = tree.commit(make_submission("luis", 1, 11))
    assert isinstance(refused, Rejected)
    failure = failure_from_wire(refused.failure)
    assert failure == SubmitConflict(current_revision=Revision(2))


def test_resent_submission_gets_first_answer_after_failover(tree):
    first = tree.commit(make_submission("ana", 1, 10))
    refused = tree.commit(make_submission("luis", 1, 11))
    tree.set_leader("c2")
    tree.submit(small_text(3))
    tree.submit(small_text(4))
    assert tree.commit(make_submission("ana", 1, 10)) == first
    assert tree.commit(make_submission("luis", 1, 11)) == refused
    assert tree.shared.machine.configuration.revision == 4
    assert tree.shared.machine.configuration.text == small_text(4)


def test_follower_redirects_relays_to_the_leader(tree):
    hello = Hello(
        instance=InstanceId("r9/relay"),
        incarnation=Incarnation(1),
        data_centre=tree.nodes["e1"].client.hello.data_centre,
        http_address="",
        role=SubscriberRole.RELAY,
    )
    sent = []

    class Recorder:
        """Stream that records the messages sent."""

        send = staticmethod(sent.append)

    assert tree.nodes["c2"].service.admit(hello, Recorder()) is None
    assert sent == [Redirected(address="c1")]


def test_leases_granted_before_relay_restart_delay_in_force(tree):
    client = tree.nodes["e4"].client
    tree.restart("r1")
    tree.connect("r1", "c1")
    revision = tree.submit(small_text(2))
    tree.settle()
    tree.renew_all()
    assert client.lease_valid()
    assert client.view.revision == 1
    assert not tree.leader.subscribers.in_force(revision).is_complete
    tree.clock.advance(LEASE_BOUND_S + 0.01)
    assert not client.lease_valid()
    assert tree.leader.subscribers.in_force(revision).is_complete


def test_command_pending_in_relay_is_committed_when_it_becomes_leader(tree):
    service = tree.nodes["c2"].service
    client = tree.nodes["c2"].client
    client.calls.should_subscribe = lambda: not service.is_leader()
    tree.cut("c2")
    answers = []

    class Recorder:
        """Subscriber that records its answers."""

        n_calls = 0
        send = staticmethod(answers.append)

    message = Propose(call=7, command=make_submission("ana", 1, 10))
    service.handle(Recorder(), message)
    sleep(0)
    assert answers == []
    tree.set_leader("c2")
    wait_until(lambda: answers, what="answer from the new leader")
    assert answers == [Answered(call=7, result=Submitted(revision=Revision(2)))]


def test_change_of_leader_does_not_empty_the_address_list(tree):
    all_entries = {"e1", "e2", "e3", "e4"}
    assert live_instance_names(tree) == all_entries
    tree.cut("c2")
    tree.set_leader("c2")
    tree.clock.advance(LEASE_BOUND_S + 0.5)
    assert live_instance_names(tree) == all_entries
    for name in ("c1", "c3", "r1"):
        tree.connect(name, "c2")
    tree.settle()
    tree.renew_all()
    tree.clock.advance(10)
    tree.renew_all()
    assert live_instance_names(tree) == all_entries


def test_instances_of_lost_relay_stay_listed_while_reconnecting(tree):
    tree.cut("r1")
    tree.clock.advance(LEASE_BOUND_S + 0.5)
    assert "e4" in live_instance_names(tree)
    tree.connect("e4", "c3")
    tree.settle()
    tree.renew_all()
    tree.clock.advance(10)
    tree.renew_all()
    assert live_instance_names(tree) == {"e1", "e2", "e3", "e4"}


def test_lost_instance_leaves_the_address_list(tree):
    tree.cut("e1")
    tree.clock.advance(LEASE_BOUND_S + 0.5)
    assert live_instance_names(tree) == {"e2", "e3", "e4"}
