"""Factories of routing objects for tests."""

from turmericreel.decisions.exposure_limit import ExposureLimit
from turmericreel.decisions.rollout_judge import judge_rollout
from turmericreel.decisions.rollout_traffic import TrafficRate
from turmericreel.model.ids import (
    BackendServerId,
    ClientAccountId,
    DataCentreId,
    Incarnation,
    Revision,
    ServiceName,
    VersionId,
)
from turmericreel.model.registered_server import RegisteredServer, ServerState
from turmericreel.model.routing import (
    AccountKeys,
    ModelName,
    Rollout,
    RolloutStage,
    Route,
    RoutedService,
    RouteKind,
    RouteName,
    RoutingConfiguration,
    TrafficShare,
)
from turmericreel.model.version_evidence import VersionEvidence
from turmericreel.model.wait_counts import WaitCounts, bucket_of

SERVICE = ServiceName("assistant")
BOOKINGS = ServiceName("bookings")


def make_server(
    name: str = "s1",
    *,
    service: ServiceName = SERVICE,
    version: str = "v1",
    address: str | None = None,
    state: ServerState = ServerState.READY,
    incarnation: int = 0,
    sequence: int = 1,
    data_centre: str = "a",
    cold_ms: int = 0,
) -> RegisteredServer:
    """Return a registered server."""
    return RegisteredServer(
        server=BackendServerId(name),
        service=service,
        address=address or f"127.0.0.1:{7_000 + sum(name.encode())}",
        data_centre=DataCentreId(data_centre),
        version=VersionId(version),
        n_slots=4,
        state=state,
        incarnation=Incarnation(incarnation),
        sequence=sequence,
        warmup_left_ms=cold_ms,
    )


def make_route(
    prefix: str = "/chat/",
    *,
    service: ServiceName = SERVICE,
    host: str = "example",
    kind: RouteKind = RouteKind.SAFE,
    timeout_ms: int = 2_000,
    max_attempts: int = 2,
    **options,
) -> Route:
    """Return a route."""
    return Route(
        name=RouteName(f"route{prefix}"),
        host=host,
        path_prefix=prefix,
        kind=kind,
        shares=(TrafficShare(service=service, weight=1),),
        timeout_ms=timeout_ms,
        latency_target_ms=500,
        max_attempts=max_attempts,
        **options,
    )


def make_configuration(
    *routes: Route,
    revision: int = 1,
    accounts: dict[str, str] | None = None,
    cold_rate: float | None = None,
) -> RoutingConfiguration:
    """Return a configuration; `accounts` maps names to keys."""
    return RoutingConfiguration(
        revision=Revision(revision),
        routes=routes,
        services=tuple(
            RoutedService(
                name=name,
                health_path="/health",
                max_connections=10,
                cold_rate=cold_rate,
            )
            for name in (SERVICE, BOOKINGS)
        ),
        accounts=None
        if accounts is None
        else tuple(
            AccountKeys(account=ClientAccountId(name), keys=(key,))
            for name, key in accounts.items()
        ),
    )


def make_rollout(
    stage: RolloutStage = RolloutStage.CANARY, *, bound: tuple[int, ...] = ()
) -> Rollout:
    """Return a roll-out of the service from v1 to v2 within ten seconds."""
    return Rollout(
        service=SERVICE,
        target=VersionId("v2"),
        number=1,
        began_ms=0,
        deadline_ms=10_000,
        stage=stage,
        bound_sessions=bound,
    )


def make_evidence(
    version: str,
    *,
    n_sent: int,
    n_failed: int = 0,
    n_running: int = 0,
    mean_ms: float = 50.0,
    route: str = "route",
    load: int = 0,
) -> VersionEvidence:
    """Return the evidence of a gateway about a version.

    All attempts that did not fail waited `mean_ms` for their answer.
    """
    return VersionEvidence(
        service=SERVICE,
        version=VersionId(version),
        route=RouteName(route),
        n_sent=n_sent,
        n_failed=n_failed,
        n_running=n_running,
        first_waits=WaitCounts(
            finished={bucket_of(mean_ms / 1_000): n_sent - n_failed}
        ),
        load=load,
    )


MODEL_SIZES = (ModelName("small"), ModelName("middle"), ModelName("large"))


NO_LIMIT = ExposureLimit(share=1.0, slack=1_000.0)


def judge(
    *evidence,
    stage=RolloutStage.CANARY,
    now=1.0,
    seen_by_all=True,
    limit=NO_LIMIT,
    rate=50.0,
    deadline=10.0,
):
    """Judge a roll-out that began at 0 s and is due at 10 s by default."""
    if isinstance(rate, float):
        rate = TrafficRate(mean=rate, usual=rate, recent=rate, highest=rate)
    return judge_rollout(
        make_rollout(stage),
        evidence,
        began=0.0,
        deadline=deadline,
        now=now,
        seen_by_all=seen_by_all,
        limit=limit,
        n_exposed=sum(e.n_sent for e in evidence if e.version == "v2"),
        rate=rate,
    )
