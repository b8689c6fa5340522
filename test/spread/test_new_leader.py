"""A control instance that becomes the leader stops waiting for the previous one."""

from random import Random

import pytest
from gevent import sleep, spawn
from gevent.timeout import Timeout

from turmericreel.coordination.control_client import ControlClient
from turmericreel.model.failures import ControlUnavailable, FailureError
from turmericreel.model.ids import DataCentreId, Incarnation, InstanceId
from turmericreel.protocols.control_messages import Hello
from turmericreel.state.commands.base import Tick
from turmericreel.util.clock import ManualClock

UNREACHABLE = "127.0.0.1:1"
HANG_TIMEOUT_S = 20


def test_call_to_lost_leader_fails_once_this_instance_leads():
    leads = []
    client = ControlClient(
        addresses=[UNREACHABLE],
        hello=Hello(
            instance=InstanceId("a/relay"),
            incarnation=Incarnation(1),
            data_centre=DataCentreId("local"),
            http_address="",
        ),
        clock=ManualClock(),
        lease_ms=2_000,
        clock_drift=0.01,
        rng=Random(0),
        should_subscribe=lambda: not leads,
    )
    client.start()

    def become_leader() -> None:
        sleep(0.1)
        leads.append(True)

    spawn(become_leader)
    # The deadline is never reached, because the manual clock does not advance.
    with Timeout(HANG_TIMEOUT_S), pytest.raises(FailureError) as raised:
        client.propose(Tick(), timeout=5.0)
    assert raised.value.failure == ControlUnavailable()
    client.stop()
