"""Messages of the weight store, which backend servers call with ``POST /fetch``.

The store is rate-limited: over its limit it answers 429 with ``Retry-After``.
"""

import msgspec

from turmericreel.model.ids import BackendServerId, VersionId

FETCH_PATH = "/fetch"


class FetchRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Weights that a backend server wants to load."""

    server: BackendServerId
    order: str
    model: str = ""
    version: VersionId = VersionId("")


class FetchAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Answer of the weight store when the weights were fetched."""

    order: str
    size_bytes: int
