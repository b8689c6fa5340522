"""Sample texts, servers and subscribers for measurements."""

from random import Random

from turmericreel.coordination.control_client import ControlClient
from turmericreel.model.ids import (
    BackendServerId,
    DataCentreId,
    Incarnation,
    InstanceId,
    ServiceName,
    VersionId,
)
from turmericreel.model.servers import BackendServer
from turmericreel.protocols.control_messages import Hello, InstanceInfo
from turmericreel.util.clock import SystemClock

LEASE_MS = 1_600
CLOCK_DRIFT = 0.01
N_VERSIONS = 6
N_DATA_CENTRES = 4


def operators_text(n_accounts: int, change: int) -> str:
    """Return a text with `N_VERSIONS` versions and `n_accounts` client accounts.

    Texts with different `change` differ in one price.
    """
    versions = [f"v{n}" for n in range(N_VERSIONS)]
    allowed = ", ".join(f'"{version}"' for version in versions)
    parts = ['[services.helper-llm]\nkind = "assistant"\nquality_target = 0.7\n']
    for n, version in enumerate(versions):
        price = change if n == 0 else 10 * n
        parts.append(
            f'[services.helper-llm.versions.{version}]\nmodel = "m{n}"\n'
            f"input_price = {price}\noutput_price = 40\nprior_quality = 0.8\n"
        )
    for n in range(n_accounts):
        digest = f"{n:064x}"
        parts.append(
            f'[client_accounts.account-{n}]\nkey_hashes = ["sha256:{digest}"]\n'
            f'allowed = {{ "helper-llm" = [{allowed}] }}\n'
        )
    return "\n".join(parts)


def backend_server(n: int, *, incarnation: int = 1) -> BackendServer:
    """Return server number `n`; data centres are assigned round-robin."""
    return BackendServer(
        server=BackendServerId(f"worker-{n:04}"),
        incarnation=Incarnation(incarnation),
        service=ServiceName("helper-llm"),
        versions=tuple(VersionId(f"v{(n + k) % N_VERSIONS}") for k in range(2)),
        data_centre=DataCentreId(f"centre-{n % N_DATA_CENTRES}"),
        address=f"10.0.{n // 250}.{n % 250}:8000",
        neighbour="ovenslot",
    )


def subscriber(
    n: int, addresses: list[str], *, parses_texts: bool = False
) -> ControlClient:
    """Return the control client of an entry instance.

    Most clients should not parse texts, since all of them share one core.
    """
    client = ControlClient(
        addresses=addresses,
        hello=Hello(
            instance=InstanceId(f"entry-{n:03}"),
            incarnation=Incarnation(1),
            data_centre=DataCentreId(f"centre-{n % N_DATA_CENTRES}"),
            http_address=f"10.1.0.{n % 250}:7080",
            load_address=f"10.1.0.{n % 250}:7084",
        ),
        clock=SystemClock(),
        lease_ms=LEASE_MS,
        clock_drift=CLOCK_DRIFT,
        rng=Random(n),
    )
    client.view.parses_texts = parses_texts
    return client


def instance_info(n: int) -> InstanceInfo:
    """Return the directory entry of an entry instance in the first data centre."""
    return InstanceInfo(
        instance=InstanceId(f"entry-{n:03}"),
        data_centre=DataCentreId("centre-0"),
        http_address=f"10.1.0.{n}:7080",
        load_address=f"10.1.0.{n}:7084",
    )
