"""Configuration of a stand-in backend server and the record of its requests."""

from collections import Counter
from dataclasses import dataclass, field
from enum import Enum


class FakeFault(Enum):
    """Faults of an answer.

    `TWICE` repeats a token and the end of the answer. `NO_END` omits the end.
    `FOREIGN_*` identifies another request, in the chunks or in the response header.
    """

    NONE = "none"
    LATE = "late"
    TWICE = "twice"
    OUT_OF_ORDER = "out_of_order"
    TRUNCATED = "truncated"
    NO_END = "no_end"
    FOREIGN_CHUNKS = "foreign_chunks"
    FOREIGN_HEADER = "foreign_header"
    MALFORMED = "malformed"
    NO_ANSWER = "no_answer"


@dataclass(kw_only=True)
class FakeBehaviour:
    """Configuration of the answers; times in milliseconds.

    Parameters
    ----------
    late_ms : float
        Delay that the fault `late` adds.
    break_after_tokens : int or None
        Number of the token before which each answer's connection is broken; None
        for never.
    honours_stream : bool
        Whether a call without `stream` gets one JSON body instead of an event stream.
    fault : FakeFault
    fault_rate : float
        Fraction of the requests that get the fault.
    refuse_rate : float
        Fraction of the requests that are refused before they run.
    refuse_over_capacity : bool
        Whether requests are refused while as many as its capacity are running.
    resumes : bool
        Whether it can resume an answer from a given token.
    poison : str
        Request content that crashes the server; empty for none.
    restart_after_ms : float or None
        Delay until it restarts after a crash, as a new incarnation; None for never.
    load_every_ms : float
        Interval of the load reports; 0 for none.
    load_lag_ms : float
        Minimum age of a load report when it is sent.
    reported_running : int
        Running requests that it reports in addition to the actual ones.
    cache_blocks : int
        Size of the prefix cache in blocks; 0 for no cache and no events.
    cache_loss_rate : float
        Fraction of the cache event messages that are not sent.
    weight_store : str
        Address from which a load order fetches weights; empty for no fetch.
    load_order_ms : float
        Time that loading takes after the weights were fetched.
    """

    n_tokens: int = 16
    first_token_ms: float = 0.0
    between_tokens_ms: float = 0.0
    late_ms: float = 500.0
    break_after_tokens: int | None = None
    honours_stream: bool = False
    fault: FakeFault = FakeFault.NONE
    fault_rate: float = 1.0
    refuse_rate: float = 0.0
    refuse_over_capacity: bool = False
    resumes: bool = True
    poison: str = ""
    restart_after_ms: float | None = None
    load_every_ms: float = 0.0
    load_lag_ms: float = 0.0
    reported_running: int = 0
    cache_blocks: int = 0
    cache_loss_rate: float = 0.0
    weight_store: str = ""
    load_order_ms: float = 0.0


@dataclass(kw_only=True)
class FakeRecord:
    """Requests and orders that the stand-in received, for assertions in tests.

    Attributes
    ----------
    effects_by_request : Counter
        Number of effects of each request id at a plain service.
    cancelled : list of str
        Ids of requests whose stream the instance closed before its end.
    """

    requests: list[str] = field(default_factory=list)
    versions: list[str] = field(default_factory=list)
    priorities: list[str] = field(default_factory=list)
    effects: int = 0
    effects_by_request: Counter[str] = field(default_factory=Counter)
    cancelled: list[str] = field(default_factory=list)
    refused: list[str] = field(default_factory=list)
    resumed: list[str] = field(default_factory=list)
    orders: list[str] = field(default_factory=list)
    n_crashes: int = 0
    n_probes: int = 0
    n_running: int = 0
    most_running: int = 0
