"""Servers are chosen by load, locality and cache, and failing ones left out."""

from collections import Counter

from test.decisions.library import SMALL, make_request, make_rng, make_server
from turmericreel.decisions.informed_server_policy import InformedServerPolicy
from turmericreel.decisions.prefix_cache import PrefixIndex, prefix_keys
from turmericreel.decisions.retry_budget import RetryBudget
from turmericreel.decisions.server_policy import AttemptEnd, AttemptEnded
from turmericreel.model.failures import (
    NotRun,
    NotRunReason,
    OutcomeUnknown,
    ProofKind,
)
from turmericreel.model.ids import BackendServerId, DataCentreId
from turmericreel.model.servers import LoadReport


def policy_with(n_servers: int = 9, **options):
    """Return a policy and servers that it has met."""
    policy = InformedServerPolicy(rng=make_rng(), **options)
    servers = [make_server(f"s{n}") for n in range(n_servers)]
    choose(policy, servers, now=0.0)
    return policy, servers


def choose(policy, servers, *, now: float, excluded=(), body=b"{}"):
    """Choose a server for a request."""
    return policy.choose(
        make_request(body=body), SMALL, servers, excluded=set(excluded), now=now
    )


def report(policy, server, n_requests: int, *, now: float) -> None:
    """A load report of a server."""
    load = LoadReport(
        server=server.server,
        incarnation=server.incarnation,
        running=n_requests,
        waiting=0,
    )
    policy.report_load(load, now=now)


def fail(policy, server, end: AttemptEnd, *, now: float) -> None:
    """One failed attempt at a server."""
    policy.begin(make_request(), server, now=now)
    ended = AttemptEnded(
        server=server.server, end=end, first_token_s=None, duration_s=0.1
    )
    policy.end(ended, now=now)


def test_excluded_server_is_never_chosen():
    policy, servers = policy_with(2)
    chosen = {
        choose(policy, servers, now=1.0, excluded=["s0"]).server for _ in range(50)
    }
    assert chosen == {"s1"}
    assert choose(policy, servers, now=1.0, excluded=["s0", "s1"]) is None


def test_fresh_report_counts_and_an_old_one_fades():
    policy, servers = policy_with(2)
    report(policy, servers[0], 8, now=0.0)
    report(policy, servers[1], 0, now=0.0)
    fresh = Counter(choose(policy, servers, now=0.1).server for _ in range(50))
    policy.begin(make_request(), servers[1], now=60.0)
    policy.begin(make_request(), servers[1], now=60.0)
    old = Counter(choose(policy, servers, now=60.0).server for _ in range(50))
    assert fresh["s1"] == 50
    assert old["s0"] == 50


def test_own_data_centre_first_and_crossing_when_it_pays():
    policy = InformedServerPolicy(rng=make_rng(), data_centre=DataCentreId("near"))
    servers = [
        make_server("near", data_centre="near", capacity=4),
        make_server("far", data_centre="far", capacity=4),
    ]
    assert choose(policy, servers, now=0.0).server == "near"
    for _ in range(3):
        policy.begin(make_request(), servers[0], now=0.0)
    assert choose(policy, servers, now=0.0).server == "far"


def test_unreachable_server_is_left_out_for_a_while():
    policy, servers = policy_with()
    fail(policy, servers[3], AttemptEnd.UNREACHABLE, now=1.0)
    soon = {choose(policy, servers, now=1.5).server for _ in range(300)}
    later = {choose(policy, servers, now=30.0).server for _ in range(300)}
    assert "s3" not in soon
    assert "s3" in later


def test_at_most_a_third_is_ejected():
    policy, servers = policy_with()
    for server in servers[:7]:
        fail(policy, server, AttemptEnd.UNREACHABLE, now=1.0)
    left = policy.ejection.in_rotation(servers, now=1.5)
    assert len(left) == 6


def test_new_server_starts_slowly():
    policy, servers = policy_with(4)
    newcomer = make_server("new")
    everyone = [*servers, newcomer]
    for server in servers:
        policy.begin(make_request(), server, now=100.0)
    early = Counter(choose(policy, everyone, now=100.0).server for _ in range(100))
    late = Counter(choose(policy, everyone, now=120.0).server for _ in range(100))
    assert early["new"] == 0
    assert late["new"] > 50


def test_cached_prefix_attracts_within_the_bound_on_imbalance():
    policy, servers = policy_with(9)
    body = b"history of appliances " * 400
    policy.begin(make_request(body=body), servers[5], now=0.0)
    near = {choose(policy, servers, now=1.0, body=body).server for _ in range(50)}
    for _ in range(7):
        policy.begin(make_request(), servers[5], now=1.0)
    loaded = {choose(policy, servers, now=1.0, body=body).server for _ in range(50)}
    assert near == {"s5"}
    assert "s5" not in loaded


def test_cache_that_was_lost_is_not_trusted_and_fills_in_again():
    index = PrefixIndex()
    server = BackendServerId("s1")
    keys = prefix_keys(b"x" * 4_096)
    index.change(server, stored=keys, removed=())
    whole = index.matched(server, keys)
    index.change(server, stored=(), removed=keys[2:])
    part = index.matched(server, keys)
    index.clear(server)
    none = index.matched(server, keys)
    index.sent(server, keys)
    assert [whole, part, none] == [1.0, 0.5, 0.0]
    assert index.matched(server, keys) == 1.0


def test_state_of_gone_servers_is_dropped():
    policy, servers = policy_with(9)
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
        budget.began(request)
        n_attempts = 1
        while budget.may_retry(
            request, failure, n_attempts=n_attempts, delivered=False, now=0.0
        ):
            n_attempts += 1
            n_retries += 1
    assert n_retries <= 101


def test_only_harmless_attempts_are_repeated():
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
