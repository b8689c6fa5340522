"""Membership of backend servers: incarnations, departures, expiry, homes, subsets."""

from hypothesis import given
from hypothesis import strategies as st

from test.spread.library import announce, expire, left, server
from test.spread.tree import Tree
from turmericreel.control.home_expiry import (
    MAX_EXPIRED_PER_SWEEP,
    REHOME_GRACE_S,
    HomeExpiry,
)
from turmericreel.control.registry_pushes import (
    MAX_SERVERS_WITHOUT_PAUSE,
    RegistryPushes,
)
from turmericreel.coordination.control_view import ControlView, UpdateResult
from turmericreel.decisions.subset import HomedServer, ServerSubset, SubsetSizes, rank
from turmericreel.model.ids import (
    BackendServerId,
    DataCentreId,
    Incarnation,
    InstanceId,
    VersionId,
)
from turmericreel.protocols.control_messages import Hello
from turmericreel.state.commands.base import Done
from turmericreel.state.commands.servers import ServerStale
from turmericreel.state.commands.union import LogRecord
from turmericreel.state.tables.servers import ServerTable
from turmericreel.util.clock import ManualClock

SIZES = SubsetSizes(n_servers=10, n_remote=2, n_per_version=3)


class Registry:
    """A server table whose commands get consecutive log indices."""

    def __init__(self):
        self.table = ServerTable()
        self.index = 0

    def apply(self, command):
        """Apply a command as the next log record."""
        self.index += 1
        record = LogRecord(index=self.index, term=1, time_ms=0, command=command)
        return self.table.apply(command, record)

    def present(self) -> set[str]:
        """Return the names of the present servers."""
        return {name for name, r in self.table.servers.items() if r.present}


def test_departed_server_stays_absent_until_restart():
    registry = Registry()
    registry.apply(announce("a", home="e1"))
    assert registry.apply(left("a")) == Done()
    stale = registry.apply(announce("a", home="e2"))
    assert stale == ServerStale(incarnation=Incarnation(1), left=True)
    assert registry.present() == set()
    assert registry.apply(announce("a", home="e2", incarnation=2)) == Done()
    assert registry.apply(left("a", incarnation=1)) == Done(changed=False)
    assert registry.present() == {"a"}


def test_announcement_of_older_incarnation_is_stale():
    registry = Registry()
    registry.apply(announce("a", home="e1", incarnation=2))
    stale = registry.apply(announce("a", home="e2", incarnation=1))
    assert stale == ServerStale(incarnation=Incarnation(2), left=False)
    assert registry.table.highest_incarnation(BackendServerId("a")) == 2
    assert registry.table.servers["a"].home == "e1"


def test_expired_server_can_register_again():
    registry = Registry()
    registry.apply(announce("a", home="e1"))
    registry.apply(expire("a", home="e1"))
    assert registry.present() == set()
    assert registry.apply(announce("a", home="e2")) == Done()
    assert registry.present() == {"a"}


def test_former_home_cannot_expire_a_server_that_moved():
    registry = Registry()
    registry.apply(announce("a", home="e1"))
    registry.apply(announce("a", home="e2"))
    assert registry.apply(expire("a", home="e1")) == Done(changed=False)
    assert registry.present() == {"a"}


def test_departure_after_expiry_blocks_the_incarnation():
    registry = Registry()
    registry.apply(announce("a", home="e1"))
    registry.apply(expire("a", home="e1"))
    registry.apply(left("a"))
    assert isinstance(registry.apply(announce("a", home="e1")), ServerStale)


def test_table_survives_dump_and_load():
    registry = Registry()
    for n in range(5):
        registry.apply(announce(f"s{n}", home="e1"))
    registry.apply(left("s1"))
    registry.apply(announce("s0", home="e2"))
    copy = ServerTable()
    copy.load(registry.table.dump())
    assert copy.feed.since(3) == registry.table.feed.since(3)
    assert copy.feed.index == registry.table.feed.index


def make_tree_with_homed_servers(n_servers: int) -> tuple[Tree, HomeExpiry]:
    tree = Tree(controls=["c1"], relays=[], entries=["e1", "e2"])
    tree.set_leader("c1")
    tree.connect_all()
    tree.renew_all()
    for n in range(n_servers):
        tree.commit(announce(f"s{n:03}", home="e1"))
    expiry = HomeExpiry(
        log=tree.leader.log,
        directory=tree.leader.subscribers.directory,
        clock=tree.clock,
    )
    return tree, expiry


def advance_clock(tree: Tree, seconds: float) -> None:
    tree.clock.advance(seconds)
    tree.leader.subscribers.tick()


def test_servers_of_lost_home_expire_after_grace_period():
    tree, expiry = make_tree_with_homed_servers(3)
    assert expiry.due_commands() == []
    tree.cut("e1")
    advance_clock(tree, 3)
    assert expiry.due_commands() == []
    tree.commit(announce("s000", home="e2"))
    advance_clock(tree, REHOME_GRACE_S - 1)
    assert expiry.due_commands() == []
    advance_clock(tree, 2)
    (command,) = expiry.due_commands()
    assert [e.server for e in command.servers] == ["s001", "s002"]


def test_reconnected_home_keeps_its_servers():
    tree, expiry = make_tree_with_homed_servers(3)
    tree.cut("e1")
    advance_clock(tree, 10)
    assert expiry.due_commands() == []
    tree.connect("e1", "c1")
    tree.settle()
    advance_clock(tree, REHOME_GRACE_S)
    assert expiry.due_commands() == []


def test_mass_expiry_is_bounded_in_each_sweep():
    tree, expiry = make_tree_with_homed_servers(MAX_EXPIRED_PER_SWEEP + 7)
    tree.cut("e1")
    advance_clock(tree, 3)
    expiry.due_commands()
    advance_clock(tree, REHOME_GRACE_S + 1)
    (command,) = expiry.due_commands()
    assert len(command.servers) == MAX_EXPIRED_PER_SWEEP
    tree.commit(command)
    (command,) = expiry.due_commands()
    assert len(command.servers) == 7


def make_homed_server(n: int, *, home: str = "e9") -> HomedServer:
    return HomedServer(
        server=server(
            f"s{n:03}",
            data_centre=DataCentreId("near" if n % 2 else "far"),
            versions=(VersionId("rare" if n % 30 == 0 else "small"),),
        ),
        home=InstanceId(home),
    )


def test_subset_prefers_near_servers_and_covers_versions():
    servers = [make_homed_server(n) for n in range(200)] + [
        make_homed_server(500, home="e1")
    ]
    subset = ServerSubset(
        instance=InstanceId("e1"), data_centre=DataCentreId("near"), sizes=SIZES
    )
    chosen = subset.choose("helper-llm", servers)
    by_name = {h.server.server: h.server for h in servers}
    near = [n for n in chosen if by_name[n].data_centre == "near"]
    rare = [n for n in chosen if "rare" in by_name[n].versions]
    assert len(near) >= 8
    assert len(rare) >= 3
    assert "s500" in chosen
    assert len(chosen) <= 10 + 3 + 3 + 1


def test_subset_of_small_service_holds_all_servers():
    servers = [make_homed_server(n) for n in range(9)]
    subset = ServerSubset(
        instance=InstanceId("e1"), data_centre=DataCentreId("near"), sizes=SIZES
    )
    assert len(subset.choose("helper-llm", servers)) == 9


def test_loss_of_a_server_changes_subsets_little():
    servers = [make_homed_server(n) for n in range(200)]
    subset = ServerSubset(
        instance=InstanceId("e1"), data_centre=DataCentreId("near"), sizes=SIZES
    )
    before = set(subset.choose("helper-llm", servers))
    lost = min(before, key=lambda name: rank(InstanceId("e1"), name))
    after = set(
        subset.choose("helper-llm", [h for h in servers if h.server.server != lost])
    )
    assert before - after == {lost}
    assert len(after - before) <= 2


steps = st.lists(
    st.tuples(
        st.sampled_from(["join", "leave", "expire"]),
        st.integers(0, 25),
        st.sampled_from(["e1", "e9"]),
    ),
    max_size=60,
)


@given(steps=steps)
def test_incremental_pushes_match_a_full_push(steps):
    hello = Hello(
        instance=InstanceId("e1"),
        incarnation=Incarnation(1),
        data_centre=DataCentreId("near"),
        http_address="e1:80",
    )
    sizes = SubsetSizes(n_servers=4, n_remote=1, n_per_version=2)
    registry = Registry()
    pushes = RegistryPushes(hello=hello, sizes=sizes, clock=ManualClock())
    view = ControlView()
    incarnations = dict.fromkeys(range(26), 1)
    for action, n, home in steps:
        homed = make_homed_server(n, home=home)
        name = homed.server.server
        fields = {
            "versions": homed.server.versions,
            "data_centre": homed.server.data_centre,
            "incarnation": incarnations[n],
        }
        match action:
            case "join":
                registry.apply(announce(name, home=home, **fields))
            case "leave":
                registry.apply(left(name, incarnation=incarnations[n]))
                incarnations[n] += 1
            case "expire":
                registry.apply(expire(name, home=home, incarnation=incarnations[n]))
        if n % 3:
            message = pushes.next_push(registry.table.feed)
            if message is not None:
                assert view.apply_servers(message) is UpdateResult.APPLIED
    message = pushes.next_push(registry.table.feed)
    if message is not None:
        assert view.apply_servers(message) is UpdateResult.APPLIED
    fresh = RegistryPushes(hello=hello, sizes=sizes, clock=ManualClock()).next_push(
        registry.table.feed
    )
    expected_servers = {p.server.server: p.server for p in fresh.present}
    assert view.servers == expected_servers


def test_server_loss_is_pushed_immediately_and_replaced_later():
    clock = ManualClock(now=10.0)
    hello = Hello(
        instance=InstanceId("e1"),
        incarnation=Incarnation(1),
        data_centre=DataCentreId("near"),
        http_address="e1:80",
    )
    registry = Registry()
    pushes = RegistryPushes(hello=hello, sizes=SIZES, clock=clock)
    for n in range(MAX_SERVERS_WITHOUT_PAUSE + 50):
        registry.apply(announce(f"s{n}", home="e9", data_centre=DataCentreId("near")))
    n_known = len(pushes.next_push(registry.table.feed).present)
    lost = next(iter(pushes.sent_servers))
    registry.apply(left(lost))
    push = pushes.next_push(registry.table.feed)
    assert [gone.server for gone in push.gone] == [lost]
    assert push.present == ()
    assert pushes.next_push(registry.table.feed) is None
    clock.advance(1)
    push = pushes.next_push(registry.table.feed)
    assert len(push.present) == 1
    assert len(pushes.sent_servers) == n_known
