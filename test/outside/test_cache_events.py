"""Cache events: each applied once and in order; a gap resets the reader's state."""

from dataclasses import replace

from test.library import SmallSystem, chat_body, wait_until
from turmericreel.decisions.prefix_cache import prefix_keys
from turmericreel.entry.cache_events import CacheEventReader, CacheListener
from turmericreel.model.ids import BackendServerId, Incarnation
from turmericreel.protocols.backend import CacheEvent, CacheEventKind, CacheEvents


class Recorder(CacheListener):
    """Stores the blocks of the events that it receives."""

    def __init__(self):
        self.blocks: list[str] = []

    def apply(self, server, events):
        """Store the blocks of the events."""
        self.blocks += [event.block for event in events]

    def reset(self, server):
        """Clear the stored blocks."""
        self.blocks.clear()


def message(first: int, blocks: str, incarnation: int = 1) -> CacheEvents:
    return CacheEvents(
        server=BackendServerId("s"),
        incarnation=Incarnation(incarnation),
        first_sequence=first,
        events=tuple(CacheEvent(kind=CacheEventKind.STORED, block=b) for b in blocks),
    )


def test_events_are_passed_on_once_and_gaps_reset():
    recorder = Recorder()
    reader = CacheEventReader(listeners=[recorder])
    reader.read(message(0, "ab"))
    reader.read(message(1, "bc"))
    reader.read(message(0, "ab"))
    assert "".join(recorder.blocks) == "abc"
    reader.read(message(5, "f"))
    assert (recorder.blocks, reader.n_gaps) == (["f"], 1)
    reader.read(message(0, "d", incarnation=2))
    reader.read(message(6, "e", incarnation=1))
    assert recorder.blocks == ["d"]
    reader.remove_server(BackendServerId("s"))
    assert recorder.blocks == []


def test_server_choice_uses_published_cache_events(system: SmallSystem):
    fake = system.fakes[0]
    fake.behaviour = replace(fake.behaviour, cache_blocks=64, load_every_ms=10)
    fake.calls.cache.n_blocks = 64
    body = chat_body("a long prompt " * 400)
    prefixes = system.instance.request_path.policies.servers.prefixes
    fake.calls.cache.match_and_store(body)
    keys = prefix_keys(body)
    wait_until(
        lambda: prefixes.match_fraction("oven-1", keys) == 1.0, what="prefix known"
    )
    assert prefixes.match_fraction("oven-2", keys) == 0.0
