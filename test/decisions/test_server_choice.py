"""Tests of server choice, prefix caches and retry budgets."""

from collections import Counter

from test.decisions.library import SMALL, make_request, make_rng, make_server
from turmericreel.decisions.informed_server_policy import InformedServerPolicy
from turmericreel.decisions.prefix_cache import PrefixIndex, prefix_keys
from turmericreel.decisions.retry_budget import RetryBudget
from turmericreel.decisions.server_policy import AttemptEnd, EndedAttempt
from turmericreel.model.failures import (
    NotRun,
    NotRunReason,
    OutcomeUnknown,
    ProofKind,
)
from turmericreel.model.ids import BackendServerId, DataCentreId
from turmericreel.model.servers import LoadReport


def make_policy(n_servers: int = 9, **options):
    """Return a policy and servers that it already tracks."""
    policy = InformedServerPolicy(rng=make_rng(), **options)
    servers = [make_server(f"s{n}") for n in range(n_servers)]
    choose(policy, servers, now=0.0)
    return policy, servers


def choose(policy, servers, *, now: float, excluded=(), body=b"{}"):
    """Return the policy's choice for a request."""
    return policy.choose(
        make_request(body=body), SMALL, servers, excluded=set(excluded), now=now
    )


def report(policy, server, n_requests: int, *, now: float) -> None:
    """Pass a load report of a server to the policy."""
    load = LoadReport(
        server=server.server,
        incarnation=server.incarnation,
        running=n_requests,
        waiting=0,
    )
    policy.record_report(load, now=now)


def fail(policy, server, end: AttemptEnd, *, now: float) -> None:
    """Record one failed attempt at a server."""
    policy.begin(make_request(), server, now=now)
    ended = EndedAttempt(
        server=server.server, end=end, first_token_s=None, duration_s=0.1
    )
    policy.end(ended, now=now)


def test_excluded_server_is_never_chosen():
    policy, servers = make_policy(2)
    chosen = {
        choose(policy, servers, now=1.0, excluded=["s0"]).server for _ in range(50)
    }
    assert chosen == {"s1"}
    assert choose(policy, servers, now=1.0, excluded=["s0", "s1"]) is None


def test_load_report_loses_weight_with_age():
    policy, servers = make_policy(2)
    report(policy, servers[0], 8, now=0.0)
    report(policy, servers[1], 0, now=0.0)
    fresh = Counter(choose(policy, servers, now=0.1).server for _ in range(50))
    policy.begin(make_request(), servers[1], now=60.0)
    policy.begin(make_request(), servers[1], now=60.0)
    old = Counter(choose(policy, servers, now=60.0).server for _ in range(50))
    assert fresh["s1"] == 50
    assert old["s0"] == 50


def test_remote_data_centre_is_used_when_the_local_server_is_loaded():
    policy = InformedServerPolicy(rng=make_rng(), data_centre=DataCentreId("near"))
    servers = [
        make_server("near", data_centre="near", capacity=4),
        make_server("far", data_centre="far", capacity=4),
    ]
    assert choose(policy, servers, now=0.0).server == "near"
    for _ in range(3):
        policy.begin(make_request(), servers[0], now=0.0)
    assert choose(policy, servers, now=0.0).server == "far"


def test_unreachable_server_is_ejected_temporarily():
    policy, servers = make_policy()
    fail(policy, servers[3], AttemptEnd.UNREACHABLE, now=1.0)
    soon = {choose(policy, servers, now=1.5).server for _ in range(300)}
    later = {choose(policy, servers, now=30.0).server for _ in range(300)}
    assert "s3" not in soon
    assert "s3" in later


def test_at_most_a_third_of_servers_is_ejected():
    policy, servers = make_policy()
    for server in servers[:7]:
        fail(policy, server, AttemptEnd.UNREACHABLE, now=1.0)
    left = policy.ejection.in_rotation(servers, now=1.5)
    assert len(left) == 6


def test_new_server_starts_slowly():
    policy, servers = make_policy(4)
    new_server = make_server("new")
    all_servers = [*servers, new_server]
    for server in servers:
        policy.begin(make_request(), server, now=100.0)
    early = Counter(choose(policy, all_servers, now=100.0).server for _ in range(100))
    late = Counter(choose(policy, all_servers, now=120.0).server for _ in range(100))
    assert early["new"] == 0
    assert late["new"] > 50


def test_cached_prefix_is_preferred_up_to_the_imbalance_bound():
    policy, servers = make_policy(9)
    body = b"history of appliances " * 400
    policy.begin(make_request(body=body), servers[5], now=0.0)
    near = {choose(policy, servers, now=1.0, body=body).server for _ in range(50)}
    for _ in range(7):
        policy.begin(make_request(), servers[5], now=1.0)
    loaded = {choose(policy, servers, now=1.0, body=body).server for _ in range(50)}
    assert near == {"s5"}
    assert "s5" not in loaded


def test_lost_cache_is_cleared_and_learned_again():
    index = PrefixIndex()
    server = BackendServerId("s1")
    keys = prefix_keys(b"x" * 4_096)
    index.apply_changes(server, stored=keys, removed=())
    whole = index.match_fraction(server, keys)
    index.apply_changes(server, stored=(), removed=keys[2:])
    part = index.match_fraction(server, keys)
    index.clear(server)
    none = index.match_fraction(server, keys)
    index.record_sent(server, keys)
    assert [whole, part, none] == [1.0, 0.5, 0.0]
    assert index.match_fraction(server, keys) == 1.0


def test_state_of_absent_servers_is_dropped():
    policy, servers = make_policy(9)
    fail(policy, servers[0], AttemptEnd.UNREACHABLE, now=1.0)
    policy.retain(set())
    assert not policy.loads
    assert not policy.limits
    assert not policy.ejection.ejection_states


def test_retries_add_at_most_a_tenth():
    budget = RetryBudget(max_balance=1.0)
    request = make_request()
    failure = OutcomeUnknown(request_id="r")
    n_retries = 0
    for _ in range(1_000):
        budget.start_request(request)
        n_attempts = 1
        while budget.may_retry(
            request, failure, n_attempts=n_attempts, delivered=False, now=0.0
        ):
            n_attempts += 1
            n_retries += 1
    assert n_retries <= 101


def test_only_safe_attempts_are_retried():
    budget = RetryBudget()
    booking = make_request(repeatable=False)
    unknown = OutcomeUnknown(request_id="r")
    refused = NotRun(
        reason=NotRunReason.REFUSED_BY_SERVER, proof=ProofKind.REFUSED_BY_PROTOCOL
    )
    arguments = {"n_attempts": 1, "delivered": False, "now": 0.0}
    assert not budget.may_retry(booking, unknown, **arguments)
    assert budget.may_retry(booking, refused, **arguments)
    arguments["delivered"] = True
    assert not budget.may_retry(make_request(), unknown, **arguments)
