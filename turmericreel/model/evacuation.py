"""The operators' order on a data centre: whether its servers get requests."""

import msgspec

from turmericreel.model.ids import DataCentreId


class Evacuation(msgspec.Struct, frozen=True, kw_only=True):
    """The newest order on a data centre.

    Attributes
    ----------
    number : int
        Index of the order in the log; of two orders, the higher one is newer.
    is_evacuated : bool
        Whether the servers of the data centre get no more requests; False once the
        order to evacuate it was withdrawn.
    """

    data_centre: DataCentreId
    number: int
    is_evacuated: bool
