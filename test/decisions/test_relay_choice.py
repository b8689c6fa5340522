"""Gateways that reach servers for others are found, and failed ones tried again."""

from random import Random

from turmericreel.decisions.relay_choice import (
    FIRST_PAUSE_S,
    MAX_PAUSE_S,
    MAX_TRIED,
    RelayChoice,
)
from turmericreel.membership.instance_registry import GatewayInstance


def make_gateways(n_gateways: int) -> list[GatewayInstance]:
    return [
        GatewayInstance(
            instance=f"g{n}",
            data_centre="a" if n % 2 else "b",
            client_address=f"10.0.0.{n}:80",
            incarnation=1,
            takes_clients=True,
        )
        for n in range(n_gateways)
    ]


def make_choice() -> RelayChoice:
    return RelayChoice(instance="g0", data_centre="a", rng=Random(1))


def test_a_bounded_number_of_other_gateways_is_tried_own_data_centre_first():
    chosen = make_choice().candidates(make_gateways(9), now=0.0)
    assert len(chosen) == MAX_TRIED
    assert [g.data_centre for g in chosen] == ["a", "b", "a"]
    assert "g0" not in {g.instance for g in chosen}


def test_gateway_whose_data_centre_is_cut_off_tries_another_one_at_once():
    choice = make_choice()
    gateways = make_gateways(60)
    tried = choice.candidates(gateways, now=1.0)
    for gateway in tried:
        choice.record_unreached(gateway.instance, now=1.0)
    assert "b" in {g.data_centre for g in tried[:2]}
    again = choice.candidates(gateways, now=1.1)
    assert not {g.instance for g in tried} & {g.instance for g in again}
    assert "b" in {g.data_centre for g in again[:2]}


def test_gateways_that_reached_servers_come_first_and_share_the_load():
    choice = make_choice()
    gateways = make_gateways(9)
    choice.record_success("g2", now=0.0)
    choice.record_success("g4", now=0.0)
    firsts = {choice.candidates(gateways, now=1.0)[0].instance for _ in range(50)}
    assert firsts == {"g2", "g4"}


def test_gateways_that_did_not_reach_a_server_are_tried_after_all_others():
    choice = make_choice()
    gateways = make_gateways(8)
    tried = set()
    for now in (1.0, 2.0, 3.0):
        for gateway in choice.candidates(gateways, now=now):
            tried.add(gateway.instance)
            choice.record_unreached(gateway.instance, now=now)
    assert tried == {gateway.instance for gateway in gateways[1:]}


def test_failed_gateways_are_left_out_for_a_while():
    choice = make_choice()
    gateways = make_gateways(3)
    choice.record_failure("g1", now=0.0)
    assert [g.instance for g in choice.candidates(gateways, now=0.1)] == ["g2"]
    after = choice.candidates(gateways, now=FIRST_PAUSE_S)
    assert {g.instance for g in after} == {"g1", "g2"}


def test_one_gateway_is_tried_when_all_failed_lately():
    choice = make_choice()
    gateways = make_gateways(3)
    for _ in range(9):
        choice.record_failure("g1", now=0.0)
    choice.record_failure("g2", now=0.0)
    assert [g.instance for g in choice.candidates(gateways, now=0.1)] == ["g2"]
    assert len(choice.candidates(gateways, now=MAX_PAUSE_S)) == 2
