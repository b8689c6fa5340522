"""State charts: states and transitions read from a TOML file and interpreted.

A chart file lists its states, the initial state, and transitions with event, source
states and destination.  An event without a transition from the current state is an
error.  Events listed under ``ignored`` for a state cannot occur there, so that
`unhandled_events` does not report them.
"""

import tomllib
from importlib.resources import files

from transitions import Machine


class Chart:
    """State machine that runs a state chart.

    Parameters
    ----------
    package : str
        Package that holds the chart file.
    name : str
        File name without ``.toml``.
    """

    def __init__(self, *, package: str, name: str):
        source = files(package).joinpath(f"{name}.toml").read_text()
        self.definition = tomllib.loads(source)
        self.machine = Machine(
            model=self,
            states=self.definition["states"],
            initial=self.definition["initial"],
            transitions=[
                {"trigger": row["event"], "source": row["from"], "dest": row["to"]}
                for row in self.definition["transitions"]
            ],
            auto_transitions=False,
        )

    def fire(self, event: str) -> str:
        """Take the transition for an event and return the new state.

        Raises
        ------
        transitions.MachineError
            If the current state has no transition for the event.
        """
        self.trigger(event)
        return self.state


def unreachable_states(definition: dict) -> set[str]:
    """Return the states that cannot be reached from the initial state."""
    seen = {definition["initial"]}
    grew = True
    while grew:
        before = len(seen)
        for row in definition["transitions"]:
            sources = row["from"] if isinstance(row["from"], list) else [row["from"]]
            if "*" in sources or seen.intersection(sources):
                seen.add(row["to"] if row["to"] != "=" else definition["initial"])
        grew = len(seen) > before
    return set(definition["states"]) - seen


def unhandled_events(definition: dict) -> set[tuple[str, str]]:
    """Return pairs of state and event that are neither handled nor ignored."""
    handled = set()
    for row in definition["transitions"]:
        sources = row["from"] if isinstance(row["from"], list) else [row["from"]]
        states = definition["states"] if "*" in sources else sources
        handled |= {(state, row["event"]) for state in states}
    for state, events in definition.get("ignored", {}).items():
        handled |= {(state, event) for event in events}
    events = {row["event"] for row in definition["transitions"]}
    return {(s, e) for s in definition["states"] for e in events} - handled
