"""Finds services that cannot answer because a service they depend on is down."""

from collections.abc import Iterable

from turmericreel.model.ids import ServiceName, VersionId
from turmericreel.model.servers import BackendServer
from turmericreel.model.text import OperatorsText, VersionState


def down_dependencies(
    text: OperatorsText, servers: Iterable[BackendServer]
) -> dict[ServiceName, ServiceName]:
    """Return, for each service with a dependency that is down, the first such one.

    A service is down when no live backend server offers a version of it that still
    takes new work.  Dependencies are followed transitively.  Whether the service itself
    is down is not considered.

    Parameters
    ----------
    text : OperatorsText
    servers : iterable of BackendServer
        Live backend servers.
    """
    offered = {(s.service, version) for s in servers for version in s.versions}
    up = {name for name in text.services if _is_up(text, name, offered)}
    found = {}
    for name in text.services:
        down = _first_down(text, name, up)
        if down is not None:
            found[name] = down
    return found


def _is_up(
    text: OperatorsText,
    name: ServiceName,
    offered: set[tuple[ServiceName, VersionId]],
) -> bool:
    return any(
        version.state is not VersionState.WITHDRAWN and (name, version_id) in offered
        for version_id, version in text.services[name].versions.items()
    )


def _first_down(
    text: OperatorsText, name: ServiceName, up: set[ServiceName]
) -> ServiceName | None:
    seen = {name}
    todo = list(text.services[name].depends_on)
    while todo:
        dependency = todo.pop(0)
        if dependency in seen:
            continue
        seen.add(dependency)
        if dependency not in up:
            return dependency
        todo.extend(text.services[dependency].depends_on)
    return None
