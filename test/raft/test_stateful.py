"""Stateful fuzzing of the log and the configuration store against an oracle model."""

from hypothesis import settings, strategies
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from test.raft.small_group import SmallGroup
from turmericreel.coordination.raft.state import Role
from turmericreel.fakes.faulty_disk import Survival
from turmericreel.model.failures import failure_from_wire
from turmericreel.state.commands.configuration import Submitted

NAMES = ("a", "b", "c")
names = strategies.sampled_from(NAMES)


class LogMachine(RuleBasedStateMachine):
    """Submissions, faults and repairs in any order.

    The oracle is the list of accepted texts.  Each text is accepted on the revision
    before its own and keeps its revision permanently, and a resend gets the same
    answer.
    """

    def __init__(self):
        super().__init__()
        self.group = SmallGroup(
            names=NAMES, seed=1, snapshot_after_bytes=500, n_kept_entries=2
        )
        self.group.wait_for_leader()
        self.group.run(0.5)
        self.revisions: dict[str, int] = {}
        self.bases: dict[str, int] = {}
        self.pending: dict[str, object] = {}
        self.lost_disk: str | None = None

    @rule(seconds=strategies.sampled_from([0.02, 0.2, 1.0, 3.0]))
    def time_passes(self, seconds):
        self.group.run(seconds)
        self.collect()

    @rule(name=names, behind=strategies.integers(0, 1))
    def submit(self, name, behind):
        node = self.group.nodes[name]
        if not self.leads(node):
            return
        text = f"t{len(self.bases)}"
        base = max(0, node.member.machine.configuration.revision - behind)
        self.bases[text] = base
        self.pending[text] = self.group.submit(name, text, base=base)

    @precondition(lambda self: self.revisions)
    @rule(name=names, data=strategies.data())
    def resend(self, name, data):
        if self.leads(self.group.nodes[name]):
            text = data.draw(strategies.sampled_from(sorted(self.revisions)))
            done = self.group.submit(name, text, base=self.bases[text])
            self.pending[text] = done

    @rule(name=names, other=names)
    def cut(self, name, other):
        self.group.link.cut.add((name, other))

    @rule(name=names)
    def isolate(self, name):
        self.group.isolate(name)

    @rule()
    def heal(self):
        self.group.heal()

    @rule(name=names)
    def pause(self, name):
        self.group.nodes[name].paused = not self.group.nodes[name].paused

    @rule(name=names, survival=strategies.sampled_from(Survival))
    def restart(self, name, survival):
        self.group.restart(name, survival)
        self.collect()

    @rule(name=names, points=strategies.integers(0, 12))
    def crash_at_a_write(self, name, points):
        disk = self.group.nodes[name].disk
        disk.crash_at = disk.n_operations + points

    @rule(name=names)
    def slow_disk(self, name):
        self.group.nodes[name].runner.is_slow = True

    @rule(name=names)
    def fast_disk(self, name):
        self.group.release(name)

    @rule()
    def start_what_is_down(self):
        for name, node in self.group.nodes.items():
            if node.member is None:
                self.group.restart(name)

    @rule(name=names)
    def lose_disk(self, name):
        if self.lost_disk is None and self.all_up_to_date():
            self.group.lose_disk(name)
            self.group.start(name)
            self.lost_disk = name

    @rule()
    def repaired(self):
        if self.lost_disk is not None and self.all_up_to_date():
            self.lost_disk = None

    @invariant()
    def accepted_revisions_are_kept_by_the_leader(self):
        leader = self.group.leader()
        if leader is None:
            return
        configuration = self.group.nodes[leader].member.machine.configuration
        assert configuration.revision >= max(self.revisions.values(), default=0)
        for kept in configuration.history:
            text = kept.text.strip("# \n")
            assert self.revisions.get(text, kept.revision) == kept.revision

    def teardown(self):
        self.group.heal()
        for name, node in self.group.nodes.items():
            node.paused = False
            node.disk.crash_at = None
            self.group.release(name)
            if node.member is None:
                self.group.restart(name)
        self.group.run_until(self.all_up_to_date, what="all members up to date")
        self.collect()
        self.accepted_revisions_are_kept_by_the_leader()

    def leads(self, node) -> bool:
        member = node.member
        if member is None or member.core is None:
            return False
        return member.core.state.role is Role.LEADER

    def all_up_to_date(self) -> bool:
        leader = self.group.leader()
        if leader is None or len(self.group.running_nodes()) < len(NAMES):
            return False
        revision = self.group.nodes[leader].member.machine.configuration.revision
        voters = self.group.nodes[leader].member.core.state.membership.voters
        return all(
            node.member.core is not None
            and node.member.core.state.member in voters
            and node.member.machine.configuration.revision == revision
            for node in self.group.running_nodes()
        )

    def collect(self):
        for text, done in list(self.pending.items()):
            if not done.ready():
                continue
            del self.pending[text]
            if done.successful():
                self.check_answer(text, done.get())

    def check_answer(self, text, result):
        if isinstance(result, Submitted):
            assert self.revisions.setdefault(text, result.revision) == result.revision
            assert result.revision == self.bases[text] + 1
        else:
            assert text not in self.revisions
            current = failure_from_wire(result.failure).current_revision
            assert current != self.bases[text]


LogMachine.TestCase.settings = settings(max_examples=60, stateful_step_count=40)
TestLog = LogMachine.TestCase
