"""Messages that aggregate evidence on versions and backend servers."""

import msgspec

from turmericreel.model.health import VersionStanding
from turmericreel.model.ids import BackendServerId, ServiceName, VersionId


class EvidenceItem(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Counts of one version at one backend server.

    Parameters
    ----------
    server : BackendServerId
        Empty for the total of all servers.
    kind : str
        Kind of evidence; only items of the same kind are summed.
    first_token_counts : tuple of int
        Counts by bucket; all reporters use the same bounds.
    first_token_ms_sum : float
        Sum over all answers that had a first token, in milliseconds.
    score_counts : tuple of int
        Counts of scores by bin.
    """

    service: ServiceName
    version: VersionId
    server: BackendServerId = BackendServerId("")
    kind: str = ""
    n_answers: int = 0
    n_failed: int = 0
    n_rated: int = 0
    score_sum: float = 0.0
    score_square_sum: float = 0.0
    first_token_ms_sum: float = 0.0
    first_token_counts: tuple[int, ...] = ()
    score_counts: tuple[int, ...] = ()


class EvidenceReport(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Counts since the last report, of one instance or of a relay's subscribers."""

    items: tuple[EvidenceItem, ...]


class EvidenceDigest(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Counts of versions, summed over all instances and a sliding time window.

    Parameters
    ----------
    standings : tuple of VersionStanding
        Health of every judged version; sending all of them bounds the time for which
        an instance can miss a change.
    bad_servers : tuple of BackendServerId
        Servers that recently gave bad answers with versions that are good at other
        servers.
    """

    items: tuple[EvidenceItem, ...]
    standings: tuple[VersionStanding, ...] = ()
    bad_servers: tuple[BackendServerId, ...] = ()


def merge_items(first: EvidenceItem, second: EvidenceItem) -> EvidenceItem:
    """Return the sum of two items that agree in service, version, server and kind."""
    return msgspec.structs.replace(
        first,
        n_answers=first.n_answers + second.n_answers,
        n_failed=first.n_failed + second.n_failed,
        n_rated=first.n_rated + second.n_rated,
        score_sum=first.score_sum + second.score_sum,
        score_square_sum=first.score_square_sum + second.score_square_sum,
        first_token_ms_sum=first.first_token_ms_sum + second.first_token_ms_sum,
        first_token_counts=_merge_counts(
            first.first_token_counts, second.first_token_counts
        ),
        score_counts=_merge_counts(first.score_counts, second.score_counts),
    )


def _merge_counts(first: tuple[int, ...], second: tuple[int, ...]) -> tuple[int, ...]:
    if len(first) < len(second):
        first, second = second, first
    padded = second + (0,) * (len(first) - len(second))
    return tuple(a + b for a, b in zip(first, padded, strict=True))
