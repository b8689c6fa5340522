"""Aggregates the evidence on versions and servers that an instance reports.

Each sender reports at most once a second, and the size of a report is bounded.
"""

from collections.abc import Iterable
from typing import NamedTuple

import msgspec

from turmericreel.model.ids import BackendServerId, ServiceName, VersionId
from turmericreel.protocols.evidence_messages import (
    EvidenceItem,
    EvidenceReport,
    merge_items,
)

REPORT_INTERVAL_S = 1.0
MAX_PENDING_ITEMS = 4_096


class EvidenceKey(NamedTuple):
    """Key by which evidence items are aggregated."""

    service: ServiceName
    version: VersionId
    server: BackendServerId
    kind: str


def key_of(item: EvidenceItem) -> EvidenceKey:
    """Return the aggregation key of an item."""
    return EvidenceKey(
        service=item.service, version=item.version, server=item.server, kind=item.kind
    )


class EvidenceSum:
    """Pending sums by service, version, server and kind.

    Parameters
    ----------
    max_items : int
        Number of sums from which on items with a new key are added to a sum with an
        empty server name.
    """

    def __init__(self, *, max_items: int = MAX_PENDING_ITEMS):
        self.max_items = max_items
        self.items: dict[EvidenceKey, EvidenceItem] = {}

    def add(self, items: Iterable[EvidenceItem]) -> None:
        """Add items to the sums."""
        for item in items:
            self._add_one(item)

    def _add_one(self, item: EvidenceItem) -> None:
        known = self.items.get(key_of(item))
        if known is None and len(self.items) >= self.max_items:
            item = msgspec.structs.replace(item, server=BackendServerId(""))
            known = self.items.get(key_of(item))
        self.items[key_of(item)] = item if known is None else merge_items(known, item)

    def take(self) -> EvidenceReport | None:
        """Return the sums as one report and clear them; None if there are none."""
        if not self.items:
            return None
        report = EvidenceReport(items=tuple(self.items.values()))
        self.items = {}
        return report
