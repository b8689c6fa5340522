"""Translates the platform's configurations and heartbeats into internal types."""

from urllib.parse import unquote

import msgspec

from turmericreel.model.failures import FailureError, QueryInvalid, RoutingRejected
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
    ClientLimits,
    EngineTraits,
    ModelCost,
    ModelName,
    Route,
    RoutedService,
    RouteKind,
    RouteName,
    RoutingConfiguration,
    TrafficShare,
)
from turmericreel.model.routing_codec import RoutingCodec
from turmericreel.platform.wire import (
    MAX_NAME_LENGTH,
    BackendEntry,
    ConfigurationBody,
    HeartbeatBody,
    HeartbeatState,
    LimitsEntry,
    RouteEntry,
    RouteType,
    RuntimeEntry,
    TenantEntry,
)
from turmericreel.protocols.addresses import parse_server_address

ROUTE_KINDS = {
    RouteType.SAFE: RouteKind.SAFE,
    RouteType.UNSAFE: RouteKind.UNSAFE,
    RouteType.STREAMING: RouteKind.STREAM,
}
SERVER_STATES = {
    HeartbeatState.READY: ServerState.READY,
    HeartbeatState.DRAINING: ServerState.DRAINING,
}

MAX_QUOTED_LENGTH = 64


class PlatformCodec(RoutingCodec):
    """Decodes configurations in the platform's format.

    A change leaves most of many routes as they are, so that those of the last document
    are kept and found by their bytes.

    Attributes
    ----------
    known_routes : dict of bytes to Route
    """

    def __init__(self):
        self.decoder = msgspec.json.Decoder(ConfigurationBody)
        self.route_decoder = msgspec.json.Decoder(RouteEntry)
        self.known_routes: dict[bytes, Route] = {}

    def decode(self, document: bytes) -> RoutingConfiguration:
        """Return the configuration in a JSON document.

        Raises
        ------
        FailureError
            With `RoutingRejected` when the document is invalid.
        """
        try:
            body = self.decoder.decode(document)
            routes = {
                written: self._decode_route(written)
                for written in map(bytes, body.routes)
            }
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
            raise FailureError(RoutingRejected(faults=(str(error),))) from error
        self.known_routes = routes
        accounts = None
        if body.tenants is not None:
            accounts = tuple(_account(tenant) for tenant in body.tenants)
        return RoutingConfiguration(
            revision=Revision(body.version),
            routes=tuple(routes[bytes(written)] for written in body.routes),
            services=tuple(_service(entry) for entry in body.backends),
            limits=_limits(body.limits),
            accounts=accounts,
        )

    def _decode_route(self, written: bytes) -> Route:
        known = self.known_routes.get(written)
        return known or _route(self.route_decoder.decode(written))


HEARTBEAT_DECODER = msgspec.json.Decoder(HeartbeatBody)


def decode_heartbeat(server: str, body: bytes) -> RegisteredServer:
    """Return the registration in a server's heartbeat.

    Parameters
    ----------
    server : str
        Id of the server.
    body : bytes
        JSON of a `HeartbeatBody`.

    Raises
    ------
    FailureError
        With `QueryInvalid` when the body or the address in it is invalid.
    """
    try:
        heartbeat = HEARTBEAT_DECODER.decode(body)
        parse_server_address(heartbeat.address)
    except (ValueError, RecursionError) as error:
        raise FailureError(QueryInvalid(detail=str(error))) from error
    return RegisteredServer(
        server=BackendServerId(server),
        service=ServiceName(heartbeat.backend),
        address=heartbeat.address,
        data_centre=DataCentreId(heartbeat.zone),
        version=VersionId(heartbeat.version),
        n_slots=heartbeat.slots,
        state=SERVER_STATES[heartbeat.state],
        incarnation=Incarnation(heartbeat.born),
        sequence=heartbeat.sequence,
        warmup_left_ms=int(heartbeat.warmup_left_ms),
    )


def decode_data_centre(text: str) -> DataCentreId:
    """Return the data centre that a part of a path names.

    Raises
    ------
    FailureError
        With `QueryInvalid`.
    """
    try:
        name = unquote(text, errors="strict")
    except UnicodeDecodeError as error:
        raise FailureError(QueryInvalid(detail=str(error))) from error
    if not name.isprintable() or "/" in text or not 0 < len(name) <= MAX_NAME_LENGTH:
        detail = f"not the name of a data centre: {name[:MAX_QUOTED_LENGTH]!r}"
        raise FailureError(QueryInvalid(detail=detail))
    return DataCentreId(name)


def _route(entry: RouteEntry) -> Route:
    shares = tuple(
        TrafficShare(service=ServiceName(s.backend), weight=s.weight)
        for s in entry.traffic_split
    )
    if not shares and entry.backend is not None:
        shares = (TrafficShare(service=ServiceName(entry.backend), weight=1),)
    return Route(
        name=RouteName(entry.name),
        host=entry.hostname,
        path_prefix=entry.path_prefix,
        kind=ROUTE_KINDS[entry.route_type],
        shares=shares,
        timeout_ms=int(entry.timeout_ms),
        latency_target_ms=int(entry.target_latency_ms),
        priority=entry.priority,
        max_attempts=entry.max_attempts,
        public=entry.public,
        session_affinity=entry.session_affinity,
        resumable=entry.stream_resume,
        event_gap_target_ms=_optional_ms(entry.itl_target_ms),
        model_sizes=tuple(ModelName(name) for name in entry.sizes),
    )


def _optional_ms(value: float | None) -> int | None:
    return None if value is None else int(value)


def _service(entry: BackendEntry) -> RoutedService:
    return RoutedService(
        name=ServiceName(entry.name),
        health_path=entry.health_check,
        max_connections=entry.max_connections,
        engine=_engine(entry.runtime) if entry.runtime is not None else None,
        cold_rate=entry.warmup_per_s if (entry.warmup_per_s or 0) > 0 else None,
    )


def _engine(entry: RuntimeEntry) -> EngineTraits:
    return EngineTraits(
        n_slots=entry.slots,
        cache_tokens=entry.kv_capacity,
        models=tuple(
            ModelCost(model=ModelName(m.name), cost=m.cost) for m in entry.models
        ),
    )


def _limits(entry: LimitsEntry) -> ClientLimits:
    return ClientLimits(
        header_bytes=entry.max_header_bytes,
        body_bytes=entry.max_body_bytes,
        header_timeout_ms=entry.header_timeout_ms,
        idle_timeout_ms=entry.idle_timeout_ms,
    )


def _account(entry: TenantEntry) -> AccountKeys:
    return AccountKeys(
        account=ClientAccountId(entry.name),
        keys=entry.api_keys,
        priority=entry.priority,
    )
