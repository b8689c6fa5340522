"""The operators' text: client accounts, services, their versions and roll-outs.

The text is one TOML document.  `parse_text` converts it to these types or reports all
its faults together.
"""

from enum import Enum
from typing import Annotated

import msgspec
from msgspec import Meta

from turmericreel.model.ids import (
    ClientAccountId,
    ServiceName,
    VersionId,
)

Fraction = Annotated[float, Meta(ge=0, le=1)]
Price = Annotated[int, Meta(ge=0)]
Milliseconds = Annotated[int, Meta(gt=0)]


class ServiceKind(Enum):
    """Protocol of a service."""

    ASSISTANT = "assistant"
    PLAIN = "plain"


class VersionState(Enum):
    """Stage in the life cycle of a version."""

    ACTIVE = "active"
    ROLLING_OUT = "rolling_out"
    WITHDRAWN = "withdrawn"


class TextStruct(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Base class of the parts of the operators' text."""


class VersionText(TextStruct):
    """One version of a service.

    Prices are in micro-credits per 1,000 tokens, or per call of a plain service.

    Parameters
    ----------
    servers : int
        Number of backend servers that should have the version loaded; while there are
        fewer, it is loaded onto others.  0 leaves the choice to the servers.
    """

    model: str
    state: VersionState = VersionState.ACTIVE
    share: Fraction = 1.0
    input_price: Price = 0
    cached_price: Price = 0
    output_price: Price = 0
    call_price: Price = 0
    prior_quality: Fraction = 0.5
    servers: Annotated[int, Meta(ge=0)] = 0


class ObjectiveText(TextStruct):
    """Service-level objectives; fractions of events that must meet their bound.

    Quality is measured by the rated answers that reach the service's quality target,
    exposure by the answers that did not come from a version found to be bad.
    """

    availability: Fraction = 0.999
    first_token_ms: Milliseconds = 320
    first_token_fraction: Fraction = 0.95
    between_tokens_ms: Milliseconds = 28
    between_tokens_fraction: Fraction = 0.95
    quality_fraction: Fraction = 0.9
    exposure_fraction: Fraction = 0.999


class ServiceText(TextStruct):
    """One service, its versions and its dependencies."""

    kind: ServiceKind
    versions: dict[VersionId, VersionText]
    quality_target: Fraction = 0.0
    depends_on: list[ServiceName] = []
    repeatable: list[str] = []
    degrade: bool = False
    session_ttl_s: Annotated[int, Meta(gt=0)] = 86_400
    objectives: ObjectiveText = ObjectiveText()


class ClientAccountText(TextStruct):
    """One client account: its keys, permitted versions and limits."""

    key_hashes: list[str]
    allowed: dict[ServiceName, list[VersionId]]
    requests_per_second: Annotated[float, Meta(gt=0)] = 100.0
    share: Annotated[float, Meta(gt=0)] = 1.0
    priority: int = 0
    objectives: dict[ServiceName, ObjectiveText] = {}


class OperatorsText(TextStruct):
    """The whole text."""

    client_accounts: dict[ClientAccountId, ClientAccountText] = {}
    services: dict[ServiceName, ServiceText] = {}
