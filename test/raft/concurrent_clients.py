"""Concurrent clients of a small group that submit and read while faults occur."""

from collections import Counter
from dataclasses import dataclass
from random import Random
from typing import Any

from test.history import NEVER, UNKNOWN, Model, Operation
from test.raft.small_group import SmallGroup
from turmericreel.coordination.raft.state import Role
from turmericreel.fakes.faulty_disk import Survival
from turmericreel.model.failures import failure_from_wire
from turmericreel.state.commands.configuration import Submitted

ROUND_S = 0.03
ANSWER_TIMEOUT_S = 3.0


class ConfigurationModel(Model):
    """Sequential configuration store: revision, and the answers to resends.

    Parameters
    ----------
    history : list of Operation
        Only answers to texts that it submits more than once are kept in the state.
    """

    initial = (0, frozenset())

    def __init__(self, history: list[Operation]):
        texts = Counter(o.request[1] for o in history if o.request[0] == "submit")
        self.resent = {text for text, n_times in texts.items() if n_times > 1}

    def apply(self, state, request):
        revision, answers = state
        if request[0] == "read":
            return state, revision
        _, text, base = request
        known = dict(answers).get(text)
        if known is None:
            accepted = base == revision
            revision += accepted
            known = ("accepted" if accepted else "conflict", revision)
        if text in self.resent:
            answers |= {(text, known)}
        return (revision, answers), known


@dataclass(kw_only=True)
class Pending:
    """An operation that is not answered yet."""

    called: float
    request: tuple
    done: Any


class Clients:
    """Several clients of a group, which record a history of their operations.

    Parameters
    ----------
    group : SmallGroup
    n_clients : int
    seed : int
    """

    def __init__(self, *, group: SmallGroup, n_clients: int, seed: int):
        self.group = group
        self.rng = Random(seed)
        self.pending: list[Pending | None] = [None] * n_clients
        self.history: list[Operation] = []
        self.n_submissions = 0
        self.known_revision = 0

    def run(self, n_rounds: int, faults) -> None:
        """Run the clients for a number of rounds; call `faults` once a round."""
        for _ in range(n_rounds):
            faults(self.group, self.rng)
            for client in range(len(self.pending)):
                self._step_client(client)
            self.group.run(ROUND_S)
        for client in range(len(self.pending)):
            self._collect(client, give_up=True)

    def _step_client(self, client: int) -> None:
        self._collect(client)
        if self.pending[client] is not None or self.rng.random() < 0.4:
            return
        node = self._random_node_in_leader_role()
        if node is None:
            return
        if self.rng.random() < 0.4:
            self._read(node)
        else:
            self._submit(client, node)

    def _random_node_in_leader_role(self):
        # A deposed leader that has not noticed it counts too: clients may use it.
        nodes = [
            n
            for n in self.group.running_nodes()
            if n.member.core is not None and n.member.core.state.role is Role.LEADER
        ]
        return self.rng.choice(nodes) if nodes else None

    def _read(self, node) -> None:
        if not node.member.is_leader():
            return
        now = self.group.time.now
        revision = node.member.machine.configuration.revision
        self.known_revision = max(self.known_revision, revision)
        self.history.append(
            Operation(called=now, returned=now, request=("read",), answer=revision)
        )

    def _submit(self, client: int, node) -> None:
        resend = self.n_submissions and self.rng.random() < 0.2
        if not resend:
            self.n_submissions += 1
        text = f"t{self.n_submissions}"
        base = max(0, self.known_revision - (self.rng.random() < 0.2))
        if resend:
            # Resends the newest submission, which may be another client's.
            base = self.newest_base
        self.newest_base = base
        now = self.group.time.now
        done = self.group.submit(node.name, text, base=base)
        request = ("submit", text, base)
        self.pending[client] = Pending(called=now, request=request, done=done)

    def _collect(self, client: int, *, give_up: bool = False) -> None:
        pending = self.pending[client]
        if pending is None:
            return
        now = self.group.time.now
        late = give_up or now > pending.called + ANSWER_TIMEOUT_S
        if not pending.done.ready() and not late:
            return
        self.pending[client] = None
        answer, returned = UNKNOWN, NEVER
        if pending.done.ready() and pending.done.successful():
            answer, returned = self._answer(pending.done.get()), now
        self.history.append(
            Operation(
                called=pending.called,
                returned=returned,
                request=pending.request,
                answer=answer,
            )
        )

    def _answer(self, result) -> tuple:
        if isinstance(result, Submitted):
            self.known_revision = max(self.known_revision, result.revision)
            return ("accepted", result.revision)
        current = failure_from_wire(result.failure).current_revision
        self.known_revision = max(self.known_revision, current)
        return ("conflict", current)


def inject_random_fault(group: SmallGroup, rng: Random) -> None:
    """Inject or repair a fault in some of the calls."""
    names = list(group.nodes)
    name = rng.choice(names)
    node = group.nodes[name]
    match rng.randrange(30):
        case 0:
            group.isolate(name)
        case 1:
            group.link.cut.add((name, rng.choice(names)))
        case 2 | 3:
            group.heal()
        case 4:
            node.paused = True
        case 5 | 6:
            for other in group.nodes.values():
                other.paused = False
        case 7 if node.member is not None:
            group.crash(name, rng.choice(list(Survival)))
        case 8 | 9 | 10:
            for other in names:
                if group.nodes[other].member is None:
                    group.start(other)
        case 12:
            node.runner.is_slow = True
        case 13:
            for other in names:
                group.release(other)
        case 11:
            group.link.jitter_s = rng.choice([0.0, 0.05, 0.3])
            group.link.loss_rate = rng.choice([0.0, 0.1])
            group.link.duplication_rate = rng.choice([0.0, 0.3])
