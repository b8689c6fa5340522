"""Selects the versions offered to a request during roll-outs and suspensions."""

from collections.abc import Iterable

import xxhash

from turmericreel.model.health import HealthState, VersionStanding
from turmericreel.model.ids import ServiceName, VersionId
from turmericreel.model.request import Request
from turmericreel.model.text import VersionState, VersionText

HASH_RANGE = 2.0**64

Standings = dict[tuple[ServiceName, VersionId], VersionStanding]


def standings_of(standings: Iterable[VersionStanding]) -> Standings:
    """Index standings by service and version."""
    return {(s.service, s.version): s for s in standings}


def newly_suspended(
    before: Standings, after: Standings
) -> list[tuple[ServiceName, VersionId]]:
    """Return the versions that are suspended now and were not before."""
    return [
        (service, version)
        for service, version in after
        if _state(service, version, after) is HealthState.SUSPENDED
        and _state(service, version, before) is not HealthState.SUSPENDED
    ]


def stable_fraction(request: Request, salt: str) -> float:
    """Return a hash as a fraction from 0 to 1, the same on every instance.

    It depends on the session, or on the request id if there is no session.

    Parameters
    ----------
    request : Request
    salt : str
        Makes the fractions of different uses independent.
    """
    subject = request.session or request.request_id
    key = f"{salt}/{request.account}/{request.service}/{subject}"
    return xxhash.xxh64_intdigest(key.encode()) / HASH_RANGE


def without_suspended(
    service: ServiceName, versions: dict[VersionId, VersionText], standings: Standings
) -> dict[VersionId, VersionText]:
    """Return the versions that are not suspended."""
    if not standings:
        return versions
    return {
        version: text
        for version, text in versions.items()
        if _state(service, version, standings) is not HealthState.SUSPENDED
    }


def offered_versions(
    request: Request, versions: dict[VersionId, VersionText], standings: Standings
) -> dict[VersionId, VersionText]:
    """Return the versions among which the plan of a request may choose.

    A version that is rolling out serves exactly its share of sessions, and a version
    that returns from a suspension is offered to its share only.  If no other version
    is left, these limits are ignored; suspended versions are never offered.

    Parameters
    ----------
    request : Request
    versions : dict of VersionId to VersionText
        Versions that the client account allows and that are not withdrawn.
    standings : dict
    """
    healthy = without_suspended(request.service, versions, standings)
    assigned_share = 0.0
    unrestricted = {}
    fraction = stable_fraction(request, "roll-out")
    for version, text in healthy.items():
        if text.state is VersionState.ROLLING_OUT:
            if assigned_share <= fraction < assigned_share + text.share:
                return {version: text}
            assigned_share += text.share
        elif _admits(request, version, standings):
            unrestricted[version] = text
    return unrestricted or healthy


def _state(
    service: ServiceName, version: VersionId, standings: Standings
) -> HealthState:
    standing = standings.get((service, version))
    return standing.state if standing else HealthState.HEALTHY


def _admits(request: Request, version: VersionId, standings: Standings) -> bool:
    standing = standings.get((request.service, version))
    if standing is None or standing.state is HealthState.HEALTHY:
        return True
    return stable_fraction(request, f"return-{version}") < standing.share
