"""A view applies only updates that are newer and come from a current leader."""

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from test.spread.library import server, small_text
from turmericreel.coordination.control_view import ControlView, UpdateResult
from turmericreel.model.ids import FencingToken, InstanceId, Revision
from turmericreel.protocols.control_messages import (
    ConfigurationDelta,
    ConfigurationPush,
    LeaseGranted,
    ServerGone,
    ServerPresent,
    ServersPush,
)
from turmericreel.util.text_edits import apply_edits, make_edits, text_checksum

lines = st.lists(
    st.sampled_from(["a\n", "b\n", "c\n", "d = 1\n", "e", ""]), max_size=30
)


@given(old=lines, new=lines)
def test_edits_turn_the_base_into_the_target(old, new):
    base, target = "".join(old), "".join(new)
    edits = make_edits(base, target)
    assert apply_edits(base, edits) == target
    assert (edits == ()) == (base == target)


def test_edits_of_long_texts_are_small_and_fast():
    base = "".join(f"key_{n} = {n}\n" for n in range(20_000))
    target = base.replace("key_700 = 700\n", "key_700 = 1\nextra = 2\n")
    edits = make_edits(base, target)
    assert apply_edits(base, edits) == target
    assert len(msgspec.msgpack.encode(edits)) < 100
    shuffled = "".join(reversed(base.splitlines(keepends=True)))
    assert apply_edits(base, make_edits(base, shuffled)) == shuffled


def push(n: int, *, token: int = 1) -> ConfigurationPush:
    return ConfigurationPush(
        revision=Revision(n), text=small_text(n), fencing_token=FencingToken(token)
    )


def delta(base: int, n: int, *, checksum: str | None = None) -> ConfigurationDelta:
    return ConfigurationDelta(
        revision=Revision(n),
        base_revision=Revision(base),
        edits=make_edits(small_text(base), small_text(n)),
        checksum=checksum or text_checksum(small_text(n)),
        fencing_token=FencingToken(1),
    )


def lease(view: ControlView, **changes) -> LeaseGranted:
    values = {
        "sequence": 1,
        "lease_ms": 2_000,
        "revision": view.revision,
        "servers_index": view.servers_index,
        "fencing_token": view.fencing_token,
        **changes,
    }
    return LeaseGranted(**values)


def test_text_alone_grants_no_lease():
    view = ControlView()
    assert view.apply_text(push(3)) is UpdateResult.APPLIED
    assert view.lease_deadline == 0.0


def test_older_revision_and_older_leader_are_refused():
    view = ControlView()
    view.apply_text(push(5, token=4))
    assert view.apply_text(push(4, token=4)) is UpdateResult.IGNORED
    assert view.apply_text(push(6, token=3)) is UpdateResult.STALE_SENDER
    assert (view.revision, view.fencing_token) == (5, 4)
    assert view.text.services["helper-llm"].versions["small"].input_price == 5


def test_delta_needs_its_base_and_its_checksum():
    view = ControlView()
    assert view.apply_delta(delta(1, 2)) is UpdateResult.GAP
    view.apply_text(push(1))
    assert view.apply_delta(delta(1, 2, checksum="0")) is UpdateResult.GAP
    assert view.revision == 1
    assert view.apply_delta(delta(1, 2)) is UpdateResult.APPLIED
    assert view.text.services["helper-llm"].versions["small"].input_price == 2


@pytest.mark.parametrize(
    ("changes", "expected"),
    [
        ({}, UpdateResult.APPLIED),
        ({"revision": Revision(4)}, UpdateResult.IGNORED),
        ({"revision": Revision(6)}, UpdateResult.IGNORED),
        ({"servers_index": 8}, UpdateResult.GAP),
        ({"fencing_token": FencingToken(0)}, UpdateResult.STALE_SENDER),
    ],
)
def test_lease_extends_only_current_view(changes, expected):
    view = ControlView()
    view.apply_text(push(5))
    result = view.extend_lease(lease(view, **changes), sent_at=100.0, clock_drift=0.01)
    assert result is expected
    assert view.lease_deadline == (101.98 if expected is UpdateResult.APPLIED else 0.0)


def servers_push(since, index, present=(), gone=(), *, whole=False) -> ServersPush:
    return ServersPush(
        since=since,
        index=index,
        present=tuple(ServerPresent(server=s, home=InstanceId("e1")) for s in present),
        gone=tuple(ServerGone(server=n, incarnation=i) for n, i in gone),
        whole=whole,
    )


def test_registry_pushes_apply_in_sequence():
    view = ControlView()
    view.apply_servers(servers_push(0, 10, [server("a"), server("b")], whole=True))
    assert view.apply_servers(servers_push(11, 12, [server("c")])) is UpdateResult.GAP
    assert (
        view.apply_servers(servers_push(10, 12, [server("c")])) is UpdateResult.APPLIED
    )
    assert view.apply_servers(servers_push(0, 11, whole=True)) is UpdateResult.IGNORED
    assert set(view.servers) == {"a", "b", "c"}


def test_stale_incarnation_changes_nothing():
    view = ControlView()
    newer = server("a", incarnation=5)
    view.apply_servers(servers_push(0, 1, [newer], whole=True))
    view.apply_servers(servers_push(1, 2, [server("a", incarnation=4)], [("a", 4)]))
    assert view.servers["a"] == newer
    view.apply_servers(servers_push(2, 3, gone=[("a", 5)]))
    assert not view.servers
