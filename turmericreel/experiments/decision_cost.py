"""Time of the decisions on a request, and memory per session and per server."""

import tracemalloc
from dataclasses import replace
from random import Random
from time import perf_counter

from turmericreel.decisions.cascade_policy import CascadePolicy
from turmericreel.decisions.fair_admission import FairAdmission
from turmericreel.decisions.informed_server_policy import InformedServerPolicy
from turmericreel.experiments.engines import VERSION, EventLoop, make_engines
from turmericreel.experiments.results import Report, Row, Target, percentile
from turmericreel.experiments.workload import OVENSLOT, generate_arrivals
from turmericreel.model.ids import ServiceName, SessionId, VersionId
from turmericreel.model.text import ClientAccountText, VersionText
from turmericreel.state.commands.sessions import BindSession
from turmericreel.state.commands.union import LogRecord
from turmericreel.state.tables.sessions import SessionTable

N_SERVERS = 40
N_VERSIONS = 6
N_DECISIONS = 5_000
MAX_DECISION_US = 100.0
BYTES_PER_TOKEN = 4
N_ITEMS = (1_000, 4_000)


def decision_times_us(seed: int) -> list[float]:
    """Return the microseconds per request to admit it, plan and choose a server."""
    rng = Random(seed)
    versions = {
        VersionId(f"v{n}"): VersionText(
            model=f"v{n}", output_price=10 * 2**n, prior_quality=0.5 + n * 0.08
        )
        for n in range(N_VERSIONS)
    }
    engines = make_engines(EventLoop(), OVENSLOT.service, n_servers=N_SERVERS)
    servers = [engine.server for engine in engines.values()]
    version_policy = CascadePolicy(rng=rng)
    server_policy = InformedServerPolicy(rng=rng, data_centre=servers[0].data_centre)
    admission = FairAdmission()
    account = ClientAccountText(key_hashes=[], allowed={}, requests_per_second=1e9)
    times = []
    for arrival in generate_arrivals(OVENSLOT, rng, n_requests=N_DECISIONS, rate=100.0):
        n_bytes = BYTES_PER_TOKEN * arrival.request.prompt_tokens
        request = replace(arrival.request, body=bytes(n_bytes))
        now = arrival.at
        began = perf_counter()
        admission.admit(request, account, now=now)
        n_slots = server_policy.n_slots(servers, now=now)
        admission.begin(request, account, n_slots=n_slots, now=now)
        version_policy.plan(request, versions, quality_target=0.8, now=now)
        server_policy.choose(request, VERSION, servers, excluded=set(), now=now)
        times.append((perf_counter() - began) * 1e6)
        admission.end(request, now=now)
    return times


def bytes_per_session() -> float:
    """Return the growth of the session table in bytes per session."""
    return _bytes_per_item(_build_session_table)


def bytes_per_server() -> float:
    """Return the growth of the server policy in bytes per server."""
    return _bytes_per_item(_build_server_policy)


def _bytes_per_item(build) -> float:
    sizes = []
    for n in N_ITEMS:
        tracemalloc.start()
        built = build(n)
        sizes.append(tracemalloc.get_traced_memory()[0])
        tracemalloc.stop()
        del built
    return (sizes[1] - sizes[0]) / (N_ITEMS[1] - N_ITEMS[0])


def _build_session_table(n: int) -> SessionTable:
    table = SessionTable()
    for number in range(n):
        command = BindSession(
            account="household",
            service=ServiceName("helper-llm"),
            session=SessionId(f"session-{number:08d}"),
            version=VersionId("small"),
            expires_ms=10**12,
        )
        record = LogRecord(index=number, term=1, time_ms=0, command=None)
        table.apply(command, record)
    return table


def _build_server_policy(n: int) -> InformedServerPolicy:
    policy = InformedServerPolicy(rng=Random(1))
    engines = make_engines(EventLoop(), ServiceName("helper-llm"), n_servers=n)
    request = next(iter(generate_arrivals(OVENSLOT, Random(1), n_requests=1))).request
    servers = [engine.server for engine in engines.values()]
    policy.choose(request, VERSION, servers, excluded=set(), now=0.0)
    return policy


def run_decision_cost(seeds: tuple[int, ...]) -> Report:
    """Measure the time of the decisions, and the memory per session and server."""
    times = [t for seed in seeds for t in decision_times_us(seed)]
    p50 = percentile(times, 0.5)
    row = Row(
        case=f"{N_SERVERS} servers, {N_VERSIONS} versions",
        policy="all decisions of a request",
        values={
            "p50 us": p50,
            "p99 us": percentile(times, 0.99),
            "bytes/session": bytes_per_session(),
            "bytes/server": bytes_per_server(),
        },
    )
    target = Target(
        name="decisions of a request: p50 us", bound=MAX_DECISION_US, measured=p50
    )
    return Report(name="decision-cost", seeds=seeds, rows=(row,), targets=(target,))
