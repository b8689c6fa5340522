"""Messages by which instances request slices of account limits from the leader."""

import msgspec

from turmericreel.model.ids import ClientAccountId

SLICES_QUERY = "slices"
RELEASE_QUERY = "release_slices"


class SliceDemand(msgspec.Struct, frozen=True, kw_only=True):
    """Request rate of each account at an instance, in requests per second."""

    demand: dict[ClientAccountId, float]


class SliceGrant(msgspec.Struct, frozen=True, kw_only=True):
    """Fractions of the account limits that an instance may use for `lease_ms`."""

    fractions: dict[ClientAccountId, float]
    lease_ms: int
