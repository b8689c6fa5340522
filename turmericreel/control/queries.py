"""Queries of the replicated state that instances send to the leader."""

from typing import Any

from turmericreel.control.account_queries import (
    account_totals,
    neighbour_statement,
    reconcile,
    statement,
)
from turmericreel.control.calls import QueryContext
from turmericreel.model.ids import Revision


def current_text(context: QueryContext) -> dict[str, Any]:
    """Return the current revision and its text."""
    configuration = context.machine.configuration
    return {"revision": configuration.revision, "text": configuration.text}


def revisions(context: QueryContext) -> list[dict[str, Any]]:
    """Return the metadata of the retained revisions, oldest first."""
    return [
        {
            "revision": kept.revision,
            "operator": kept.operator,
            "time_ms": kept.time_ms,
            "n_lines": kept.text.count("\n"),
        }
        for kept in context.machine.configuration.history
    ]


def text_at(context: QueryContext) -> dict[str, Any]:
    """Return a retained revision and its text.

    Raises
    ------
    ValueError
        If the revision is not retained.
    """
    revision = Revision(int(context.arguments["revision"]))
    for kept in context.machine.configuration.history:
        if kept.revision == revision:
            return {"revision": kept.revision, "text": kept.text}
    raise ValueError(f"revision {revision} is not retained")


def in_force(context: QueryContext) -> dict[str, Any]:
    """Return how far a revision has propagated.

    One is added to `waiting` if leases of an earlier leader may still be valid, or if
    the revision is not durable.
    """
    revision = Revision(int(context.arguments["revision"]))
    propagation = context.subscribers.in_force(revision)
    durable = revision <= context.machine.configuration.revision
    n_unknown = 0 if propagation.settled and durable else 1
    return {
        "confirmed": propagation.confirmed,
        "waiting": propagation.waiting + n_unknown,
        "settled": propagation.settled,
        "left_ms": propagation.left_ms,
    }


def status(context: QueryContext) -> dict[str, Any]:
    """Return the leader's view of instances, servers and the ledger."""
    machine = context.machine
    return {
        "revision": machine.configuration.revision,
        "applied_index": machine.applied_index,
        "instances": context.subscribers.live_instances(),
        "servers": [r.server for r in machine.servers.servers.values() if r.present],
        "open_intents": len(machine.ledger.intents),
        "provisional_lines": len(machine.ledger.provisional),
        "bill_lines": machine.ledger.n_final,
    }


def service_levels(context: QueryContext) -> dict[str, Any]:
    """Return the recorded service levels of all services and accounts."""
    return context.machine.service_levels.series


QUERIES = {
    "current_text": current_text,
    "revisions": revisions,
    "text_at": text_at,
    "in_force": in_force,
    "statement": statement,
    "neighbour_statement": neighbour_statement,
    "account_totals": account_totals,
    "reconcile": reconcile,
    "status": status,
    "service_levels": service_levels,
}
