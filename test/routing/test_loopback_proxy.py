"""The proxy of the soak test injects the requested connection faults."""

import pytest
from gevent import sleep
from gevent.server import StreamServer
from gevent.socket import create_connection, timeout

from test_long.loopback_proxy import LinkFault, LoopbackProxy


def echo(sock, peer):
    while data := sock.recv(100):
        sock.sendall(data)


@pytest.fixture
def proxy():
    server = StreamServer(("127.0.0.1", 0), echo)
    server.start()
    proxy = LoopbackProxy(target=f"127.0.0.1:{server.server_port}")
    proxy.start()
    yield proxy
    proxy.stop()
    server.stop()


@pytest.fixture
def sock(proxy):
    with create_connection(proxy.listener.address, timeout=0.2) as connected:
        connected.sendall(b"one")
        assert connected.recv(100) == b"one"
        yield connected


def test_repeated_resets_reset_a_connection_once(proxy, sock):
    proxy.inject_fault(LinkFault.RESET)
    proxy.inject_fault(LinkFault.RESET)
    with pytest.raises(ConnectionResetError):
        sock.recv(100)


@pytest.mark.parametrize("fault", [LinkFault.SILENCE, LinkFault.ONE_WAY])
def test_nothing_is_received_over_a_silent_connection(proxy, sock, fault):
    proxy.inject_fault(fault)
    sock.sendall(b"two")
    with pytest.raises(timeout):
        sock.recv(100)
    with create_connection(proxy.listener.address, timeout=0.5) as other:
        other.sendall(b"three")
        assert other.recv(100) == b"three"


def test_delayed_data_arrives(proxy, sock):
    proxy.inject_fault(LinkFault.DELAY, delay_s=0.05)
    sock.sendall(b"two")
    sleep(0.02)
    assert sock.recv(100) == b"two"
