"""Addresses written as ``ip:port``."""

from dataclasses import dataclass
from ipaddress import ip_address

MAX_PORT = 65_535


@dataclass(frozen=True, kw_only=True)
class Address:
    """An IP address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


def parse_server_address(address: str) -> Address:
    """Parse the ``ip:port`` at which another program listens.

    Raises
    ------
    ValueError
        When the address is invalid, or its port is 0.
    """
    parsed = parse_address(address)
    if not parsed.port:
        raise ValueError(f"port must be at least 1, got {address!r}")
    return parsed


def parse_address(address: str) -> Address:
    """Parse ``ip:port``.

    Raises
    ------
    ValueError
        When the address is invalid; the message contains the invalid part.
    """
    host, separator, port = address.rpartition(":")
    if not separator or not port.isascii() or not port.isdigit():
        raise ValueError(f"address must be ip:port, got {address!r}")
    # Host names are rejected, so that no DNS lookup ever happens.
    host = str(ip_address(host.strip("[]")))
    if int(port) > MAX_PORT:
        raise ValueError(f"port must be at most {MAX_PORT}, got {address!r}")
    return Address(host=host, port=int(port))
