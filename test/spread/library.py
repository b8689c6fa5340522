"""Backend servers, commands about them and operators' texts, for the tests here."""

from test.spread.tree import Tree
from turmericreel.model.ids import (
    BackendServerId,
    DataCentreId,
    Incarnation,
    InstanceId,
    ServiceName,
    VersionId,
)
from turmericreel.model.servers import BackendServer
from turmericreel.state.commands.servers import (
    AnnounceServer,
    ExpiredServer,
    ExpireServers,
    ServerLeft,
)


def server(name: str, *, incarnation: int = 1, **fields) -> BackendServer:
    """Return a backend server's announcement."""
    values = {
        "service": ServiceName("helper-llm"),
        "versions": (VersionId("small"),),
        "data_centre": DataCentreId("north-mid-a"),
        "address": f"{name}:1",
        **fields,
    }
    return BackendServer(
        server=BackendServerId(name), incarnation=Incarnation(incarnation), **values
    )


def announce(name: str, *, home: str, **fields) -> AnnounceServer:
    """Return the command that registers a server."""
    return AnnounceServer(server=server(name, **fields), home=InstanceId(home))


def left(name: str, *, incarnation: int = 1) -> ServerLeft:
    """Return the command that deregisters a server that leaves."""
    return ServerLeft(
        server=BackendServerId(name), incarnation=Incarnation(incarnation)
    )


def expire(name: str, *, home: str, incarnation: int = 1) -> ExpireServers:
    """Return the command that expires a server at its home."""
    expired = ExpiredServer(
        server=BackendServerId(name), incarnation=Incarnation(incarnation)
    )
    return ExpireServers(home=InstanceId(home), servers=(expired,))


def small_text(n: int) -> str:
    """Return a valid operators' text; texts differ in one line by `n`."""
    return (
        '[services.helper-llm]\nkind = "assistant"\n'
        '[services.helper-llm.versions.small]\nmodel = "m"\n'
        f"input_price = {n}\n"
        '[services.helper-llm.versions.strong]\nmodel = "m2"\n'
        "input_price = 100\noutput_price = 400\nprior_quality = 0.95\n"
    )


def live_instance_names(tree: Tree) -> set[str]:
    tree.leader.subscribers.tick()
    return {i.instance for i in tree.leader.subscribers.live_instances()}
