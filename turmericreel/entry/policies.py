"""Builds the decision policies of an entry instance."""

from dataclasses import dataclass, field
from random import Random

from turmericreel.decisions.admission_policy import AdmissionPolicy
from turmericreel.decisions.cascade_policy import CascadePolicy
from turmericreel.decisions.fair_admission import FairAdmission
from turmericreel.decisions.informed_server_policy import InformedServerPolicy
from turmericreel.decisions.rating_sampler import RatingSampler
from turmericreel.decisions.retry_budget import RetryBudget
from turmericreel.decisions.retry_policy import RetryPolicy
from turmericreel.decisions.rollout import Standings
from turmericreel.decisions.server_policy import ServerPolicy
from turmericreel.decisions.slot_search import SlotProber
from turmericreel.decisions.version_policy import VersionPolicy
from turmericreel.entry.http_rater import HttpRater
from turmericreel.entry.rating import NoRater, Rater
from turmericreel.entry.slot_probes import HttpSlotProber
from turmericreel.model.ids import DataCentreId
from turmericreel.model.settings import RatingSettings
from turmericreel.util.clock import Clock, SystemClock


@dataclass(kw_only=True)
class Policies:
    """Decision policies of an entry instance, shared by all its requests."""

    versions: VersionPolicy
    servers: ServerPolicy
    admission: AdmissionPolicy
    retries: RetryPolicy
    rater: Rater = field(default_factory=NoRater)
    sampler: RatingSampler
    prober: SlotProber = field(default_factory=HttpSlotProber)
    standings: Standings = field(default_factory=dict)


def build_policies(
    *,
    rng: Random,
    data_centre: DataCentreId = DataCentreId(""),
    rating: RatingSettings | None = None,
    clock: Clock | None = None,
) -> Policies:
    """Return the policies of an entry instance in production.

    Parameters
    ----------
    rng : Random
    data_centre : DataCentreId
        Data centre of the instance.
    rating : RatingSettings or None
        Without the address of a rating service, no answer is rated.
    clock : Clock or None
    """
    rating = rating or RatingSettings()
    rater = NoRater()
    sample = 0.0
    if rating.address:
        rater = HttpRater(address=rating.address, clock=clock or SystemClock())
        sample = rating.sample
    return Policies(
        versions=CascadePolicy(rng=rng),
        rater=rater,
        sampler=RatingSampler(sample=sample, rng=rng),
        servers=InformedServerPolicy(rng=rng, data_centre=data_centre),
        admission=FairAdmission(),
        retries=RetryBudget(),
    )
