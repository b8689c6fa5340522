"""Address lists: own data centre first, evenly distributed, no leaving instances."""

from collections import Counter
from random import Random

from test.library import SmallSystem, http_call, wait_until
from turmericreel.entry.address_handlers import MAX_ADDRESSES, select_addresses
from turmericreel.model.ids import DataCentreId, InstanceId
from turmericreel.protocols.control_messages import InstanceInfo


def instances(n: int, n_data_centres: int) -> tuple[InstanceInfo, ...]:
    return tuple(
        InstanceInfo(
            instance=InstanceId(f"i{number}"),
            data_centre=DataCentreId(f"d{number % n_data_centres}"),
            http_address=f"127.0.0.1:{number}",
        )
        for number in range(n)
    )


def test_own_data_centre_comes_first_and_callers_are_distributed():
    rng = Random(0)
    known = instances(12, 3)
    own = {i.http_address for i in known if i.data_centre == "d1"}
    lists = [select_addresses(known, DataCentreId("d1"), rng=rng) for _ in range(400)]
    assert all(set(listed[: len(own)]) == own for listed in lists)
    firsts = Counter(listed[0] for listed in lists)
    assert set(firsts) == own
    assert max(firsts.values()) < 2 * 400 / len(own)


def test_list_is_bounded_among_many_instances():
    rng = Random(0)
    listed = select_addresses(instances(370, 4), DataCentreId("d1"), rng=rng)
    assert len(listed) == MAX_ADDRESSES
    unknown = select_addresses(instances(370, 4), DataCentreId("x"), rng=rng)
    assert len(unknown) == MAX_ADDRESSES


def test_leaving_instance_is_not_listed(system: SmallSystem):
    path = "/v1/addresses?service=helper-llm&data_centre=north-mid-a"
    control = system.instance.control_client
    wait_until(lambda: control.view.instances, what="instances known")
    answer = http_call(system.address, "GET", path)
    assert answer.json()["addresses"] == [system.address]
    assert answer.json()["valid_ms"] > 0
    control.leaving = True
    control.renew_now()
    wait_until(lambda: not control.view.instances, what="left the list")
    refused = http_call(system.address, "GET", path)
    assert refused.status == 503
    assert refused.json()["error"]["reason"] == "stopping"


def test_instance_that_has_just_started_lists_itself(system: SmallSystem):
    system.instance.control_client.view.instances = ()
    answer = http_call(system.address, "GET", "/v1/addresses")
    assert answer.json()["addresses"] == [system.address]


def test_list_needs_a_key(system: SmallSystem):
    answer = http_call(system.address, "GET", "/v1/addresses", key="tr_stranger")
    assert answer.status == 401
