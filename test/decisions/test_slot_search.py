"""Servers that report being full are skipped; unresponsive ones cause no delay."""

from test.decisions.library import SMALL, make_request, make_rng, make_server
from test.library import CALLER_KEY, chat_body, http_call, start_fake, wait_until
from turmericreel.decisions.informed_server_policy import InformedServerPolicy
from turmericreel.decisions.slot_search import (
    MAX_PROBES,
    SlotProber,
    find_server,
)
from turmericreel.entry.slot_probes import HttpSlotProber
from turmericreel.model.servers import BackendServer


class FakeProber(SlotProber):
    """Returns preset answers; None for servers without one."""

    def __init__(self, **free: bool):
        self.free = free
        self.probed: list[str] = []

    def has_slot(self, server: BackendServer) -> bool | None:
        """Return the preset answer for a server."""
        self.probed.append(server.server)
        return self.free.get(server.server)


def search(prober: SlotProber, n_servers: int = 9, *, probes: bool = True):
    """Run `find_server` on servers that answer probes, or do not."""
    policy = InformedServerPolicy(rng=make_rng())
    servers = [make_server(f"s{n}", answers_probes=probes) for n in range(n_servers)]
    return find_server(
        policy, prober, make_request(), SMALL, servers, excluded=set(), now=0.0
    )


def test_full_servers_are_skipped():
    prober = FakeProber(s0=False, s1=False, s2=True)
    assert search(prober, 3).server == "s2"


def test_first_choice_is_returned_when_all_are_full():
    prober = FakeProber(**{f"s{n}": False for n in range(9)})
    chosen = search(prober)
    assert chosen.server == prober.probed[0]
    assert len(prober.probed) == MAX_PROBES


def test_unresponsive_server_is_used_and_servers_without_probes_are_not_probed():
    unresponsive = FakeProber()
    chosen = search(unresponsive)
    assert [chosen.server] == unresponsive.probed
    unprobed = FakeProber()
    search(unprobed, probes=False)
    assert unprobed.probed == []


def test_probe_over_http_reads_the_present_load(system):
    fake = start_fake("oven-9", "helper-llm", ["small"], [system.address])
    prober = HttpSlotProber()
    free = prober.has_slot(fake.server)
    fake.behaviour.reported_running = fake.server.capacity
    full = prober.has_slot(fake.server)
    fake.stop()
    gone = HttpSlotProber().has_slot(fake.server)
    assert [free, full, gone] == [True, False, None]


def test_running_system_probes_servers_that_answer_probes(system):
    fakes = [
        start_fake(
            f"prober-{n}",
            "helper-llm",
            ["small"],
            [system.address],
            answers_probes=True,
        )
        for n in range(2)
    ]
    view = system.instance.control_client.view
    wait_until(lambda: len(view.servers) == 5, what="five servers registered")
    for n in range(20):
        answer = http_call(
            system.address,
            "POST",
            "/v1/chat/completions",
            body=chat_body(f"question {n}"),
            key=CALLER_KEY,
        )
        assert answer.status == 200
    for fake in fakes:
        fake.stop()
    assert sum(fake.record.n_probes for fake in fakes) > 0
