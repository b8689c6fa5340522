"""Messages that aggregate evidence on versions and backend servers."""

import msgspec

from turmericreel.model.health import VersionStanding
from turmericreel.model.ids import BackendServerId, ServiceName, VersionId


class EvidenceItem(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Counts of one version at one backend server since the last report.

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
    """New counts of one instance, or of all instances that subscribe to a relay."""

    items: tuple[EvidenceItem, ...]


class EvidenceDigest(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Counts of versions, summed over all instances within the time window.

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


def merge_items(one: EvidenceItem, other: EvidenceItem) -> EvidenceItem:
    """Return the sum of two items that agree in service, version, server and kind."""
    return msgspec.structs.replace(
        one,
        n_answers=one.n_answers + other.n_answers,
        n_failed=one.n_failed + other.n_failed,
        n_rated=one.n_rated + other.n_rated,
        score_sum=one.score_sum + other.score_sum,
        score_square_sum=one.score_square_sum + other.score_square_sum,
        first_token_ms_sum=one.first_token_ms_sum + other.first_token_ms_sum,
        first_token_counts=_merge_counts(
            one.first_token_counts, other.first_token_counts
        ),
        score_counts=_merge_counts(one.score_counts, other.score_counts),
    )


def _merge_counts(one: tuple[int, ...], other: tuple[int, ...]) -> tuple[int, ...]:
    if len(one) < len(other):
        one, other = other, one
    padded = other + (0,) * (len(one) - len(other))
    return tuple(a + b for a, b in zip(one, padded, strict=True))
