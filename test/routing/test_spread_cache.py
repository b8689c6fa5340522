"""A coordinator restores the state that it distributed before a restart."""

import pytest

from test.routing.library import make_server
from turmericreel.membership.server_registry import ServerRegistry
from turmericreel.model.evacuation import Evacuation
from turmericreel.state.routing_state_cache import (
    FILE_NAME,
    RoutingState,
    RoutingStateCache,
)
from turmericreel.state.storage.disk import FolderDisk

STATE = RoutingState(
    revision=3,
    document=b"text",
    servers=(make_server(),),
    evacuations=(Evacuation(data_centre="a", number=7, is_evacuated=True),),
)


def make_cache(folder):
    return RoutingStateCache(open_disk=lambda: FolderDisk(folder=folder))


def test_what_was_saved_is_read_back(tmp_path):
    cache = make_cache(tmp_path / "cache")
    assert cache.load() == RoutingState()
    cache.save(STATE)
    assert cache.load() == STATE


@pytest.mark.parametrize("cut", [0, 1, 5, 20])
def test_truncated_file_is_ignored(tmp_path, cut):
    cache = make_cache(tmp_path)
    cache.save(STATE)
    path = tmp_path / FILE_NAME
    path.write_bytes(path.read_bytes()[:cut])
    assert cache.load() == RoutingState()


def test_flipped_byte_is_detected(tmp_path):
    cache = make_cache(tmp_path)
    cache.save(STATE)
    path = tmp_path / FILE_NAME
    whole = path.read_bytes()
    for position in range(0, len(whole), 7):
        flipped = bytearray(whole)
        flipped[position] ^= 0xFF
        path.write_bytes(flipped)
        assert cache.load() == RoutingState()


def test_unwritable_disk_does_not_fail_the_save(tmp_path):
    folder = tmp_path / "cache"
    folder.write_text("in the way")
    make_cache(folder).save(STATE)


def test_restored_server_without_report_expires_sooner():
    registry = ServerRegistry(expiry_s=4.0)
    registry.restore([make_server("s1"), make_server("s2")], now=0.0, expiry_s=2.0)
    registry.record_report(make_server("s1", sequence=2), now=1.0)
    assert [s.server for s in registry.expire(now=2.5)] == ["s2"]
