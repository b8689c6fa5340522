"""HTTP handler that serves the addresses of instances to callers."""

from random import Random
from urllib.parse import parse_qs

import msgspec

from turmericreel.coordination.control_client import ControlClient
from turmericreel.entry.application import HttpAnswer, HttpRequest, json_answer
from turmericreel.entry.view_index import ViewIndex
from turmericreel.model.failures import FailureError, NotRun, NotRunReason
from turmericreel.model.ids import DataCentreId, ServiceName
from turmericreel.protocols.control_messages import InstanceInfo

# A leaving instance keeps serving until every list that names it has expired.
ADDRESS_VALIDITY_MS = 5_000
MAX_ADDRESSES = 16
RETRY_AFTER_MS = 1_000
MAX_OTHER_DATA_CENTRE_ADDRESSES = 4


class AddressList(msgspec.Struct, frozen=True, kw_only=True):
    """Addresses in the order in which a caller should try them."""

    addresses: tuple[str, ...]
    valid_ms: int


class AddressHandlers:
    """Serves address lists.

    Parameters
    ----------
    control : ControlClient
    index : ViewIndex
    rng : Random
        Distributes callers over the instances.
    """

    def __init__(self, *, control: ControlClient, index: ViewIndex, rng: Random):
        self.control = control
        self.index = index
        self.rng = rng

    def addresses(self, http: HttpRequest) -> HttpAnswer:
        """Serve ``GET /v1/addresses?service=NAME&data_centre=NAME``."""
        self.index.authenticate(http.bearer)
        self._check_lease()
        arguments = parse_qs(http.query)
        service = arguments.get("service", [""])[0]
        if service and ServiceName(service) not in self.control.view.text.services:
            raise FailureError(
                NotRun(reason=NotRunReason.UNKNOWN_SERVICE, detail=service)
            )
        preferred = arguments.get("data_centre", [self.control.hello.data_centre])[0]
        listed = select_addresses(
            self._usable_instances(), DataCentreId(preferred), rng=self.rng
        )
        if not listed:
            raise self._no_address_error()
        answer = AddressList(addresses=listed, valid_ms=ADDRESS_VALIDITY_MS)
        return json_answer(answer)

    def _usable_instances(self) -> tuple[InstanceInfo, ...]:
        instances = self.control.view.instances
        own = self.control.hello
        if self.control.leaving or any(i.instance == own.instance for i in instances):
            return instances
        # The control group's list doesn't contain an instance that has just started.
        # Callers would cache a list without it, or an empty one.
        own_info = InstanceInfo(
            instance=own.instance,
            data_centre=own.data_centre,
            http_address=own.http_address,
        )
        return (*instances, own_info)

    def _no_address_error(self) -> FailureError:
        # This instance is leaving and knows no other.  Callers would cache an empty
        # list for its validity period, so the request fails instead.
        return FailureError(
            NotRun(reason=NotRunReason.STOPPING, retry_after_ms=RETRY_AFTER_MS)
        )

    def _check_lease(self) -> None:
        # Without a lease this instance may not know that another one is leaving.
        if not self.control.lease_valid():
            raise FailureError(
                NotRun(
                    reason=NotRunReason.LEASE_EXPIRED,
                    retry_after_ms=RETRY_AFTER_MS,
                    addresses=tuple(
                        i.http_address for i in self.control.view.instances
                    ),
                )
            )


def select_addresses(
    instances: tuple[InstanceInfo, ...], data_centre: DataCentreId, *, rng: Random
) -> tuple[str, ...]:
    """Return up to `MAX_ADDRESSES` addresses, those of `data_centre` first.

    Up to `MAX_OTHER_DATA_CENTRE_ADDRESSES` of other data centres follow as a fallback.
    Both groups are in random order.
    """
    own = [i.http_address for i in instances if i.data_centre == data_centre]
    others = [i.http_address for i in instances if i.data_centre != data_centre]
    rng.shuffle(own)
    rng.shuffle(others)
    if not own:
        return tuple(others[:MAX_ADDRESSES])
    own = own[: MAX_ADDRESSES - MAX_OTHER_DATA_CENTRE_ADDRESSES]
    return (*own, *others[:MAX_OTHER_DATA_CENTRE_ADDRESSES])
