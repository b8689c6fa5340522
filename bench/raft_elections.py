"""Elections over many seeds: time without a lease, split votes, and rejoining members.

Real members communicate over the fake link of the tests in simulated time, so that the
figures depend on the protocol alone.  For comparison, rejoining is also measured
without the pre-vote and without the promise to elect no other leader for a while after
contact with the present one.
"""

import turmericreel.util.event_loop  # noqa: F401, I001

from unittest.mock import patch

from bench.figures import percentiles_ms, write_result
from test.raft.small_group import SmallGroup
from turmericreel.coordination.raft.elections import Elections

NAMES = ("a", "b", "c", "d", "e")
N_SEEDS = 200
ISOLATED_S = 5.0
REJOINED_S = 5.0


def crash_leader(seed: int) -> tuple[float, int]:
    """Crash the leader; return seconds to the next lease, and the terms used."""
    group = SmallGroup(names=NAMES, seed=seed)
    leader = group.wait_for_leader()
    group.run(1.0 + group.rng.random())
    term = group.nodes[leader].member.core.state.term
    group.crash(leader)
    took = group.run_until(lambda: group.leader() is not None)
    new = group.nodes[group.leader()].member
    return took, new.core.state.term - term


def rejoin_follower(seed: int) -> tuple[int, float]:
    """Isolate a follower for `ISOLATED_S`, then reconnect it.

    Returns
    -------
    n_changes : int
        Changes of leader after the reconnection.
    without_s : float
        Seconds without a lease after the reconnection.
    """
    group = SmallGroup(names=NAMES, seed=seed)
    leader = group.wait_for_leader()
    group.run(1.0)
    follower = next(name for name in NAMES if name != leader)
    group.isolate(follower)
    group.run(ISOLATED_S)
    n_before = len(group.leaders)
    group.heal()
    without = 0.0
    end = group.time.now + REJOINED_S
    while group.time.now < end:
        group.run(0.01)
        without += 0.01 * (group.leader() is None)
    return len(group.leaders) - n_before, without


def campaign_without_pre_vote(elections: Elections, now: float) -> None:
    """Start an election without a pre-vote, as basic Raft does."""
    state = elections.state
    if state.role.value in ("follower", "candidate") and now >= state.election_deadline:
        state.chart.fire("election_timeout")
        state.chart.fire("pre_vote_won")
        elections._begin_vote(now, transfer=False)


def measure_rejoins() -> dict:
    """Return the leader changes and lost lease time that rejoining members cause."""
    results = [rejoin_follower(seed) for seed in range(N_SEEDS)]
    return {
        "rejoins": len(results),
        "leader_changes": sum(changes for changes, _ in results),
        "seconds_without_lease": round(sum(without for _, without in results), 2),
    }


def main() -> None:
    """Measure crashes, and rejoining with and without pre-vote and promise."""
    crashes = [crash_leader(seed) for seed in range(N_SEEDS)]
    with_checks = measure_rejoins()
    with (
        patch.object(Elections, "tick", campaign_without_pre_vote),
        patch.object(Elections, "_bound_by_promise", lambda self, now: False),
    ):
        without_checks = measure_rejoins()
    write_result(
        "raft_elections",
        {
            "instances": len(NAMES),
            "crash_to_lease": percentiles_ms([took for took, _ in crashes]),
            "elections_that_took_more_than_one_term": sum(n > 1 for _, n in crashes),
            "rejoin_with_pre_vote_and_promise": with_checks,
            "rejoin_without": without_checks,
        },
    )


if __name__ == "__main__":
    main()
