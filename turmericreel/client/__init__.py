"""Client library: finds instances, sends calls, and reports the outcome of each call.

It does not depend on the daemon::

    from turmericreel.client import Caller, Completed

    caller = Caller(bootstrap=["127.0.0.1:7080"], key="tr_...")
    outcome = caller.chat("helper-llm", "How long does a self-clean take?")
    if isinstance(outcome, Completed):
        print(outcome.text)
"""

from turmericreel.client.caller import Caller
from turmericreel.client.outcomes import (
    Completed,
    Interrupted,
    NotRun,
    Outcome,
    OutcomeUnknown,
)
from turmericreel.client.streams import AnswerStream

__all__ = [
    "AnswerStream",
    "Caller",
    "Completed",
    "Interrupted",
    "NotRun",
    "Outcome",
    "OutcomeUnknown",
]
