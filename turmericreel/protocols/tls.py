"""TLS contexts for listeners and for connections between instances.

Certificates are issued for IP addresses, since no host names are used.
Files are read once, when a context is created.
"""

from pathlib import Path
from ssl import CERT_REQUIRED, PROTOCOL_TLS_CLIENT, PROTOCOL_TLS_SERVER, TLSVersion

from gevent.socket import socket
from gevent.ssl import SSLContext, SSLError

from turmericreel.model.failures import (
    FailureError,
    FileUnreadable,
    PeerUnreachable,
)
from turmericreel.model.settings import TlsSettings
from turmericreel.protocols.dropped_input import DropReason, Endpoint, count_dropped


def server_context(tls: TlsSettings) -> SSLContext | None:
    """Return the context of a listener that requires no client certificate.

    Returns None when TLS is off.

    Raises
    ------
    FailureError
        With `FileUnreadable` when a file cannot be loaded.
    """
    if not tls.enabled:
        return None
    context = SSLContext(PROTOCOL_TLS_SERVER)
    context.minimum_version = TLSVersion.TLSv1_2
    _load_own_certificate(context, tls)
    return context


def peer_server_context(tls: TlsSettings) -> SSLContext | None:
    """Return the context of a listener that requires certificates of other instances.

    Returns None when TLS is off.
    """
    context = server_context(tls)
    if context is None:
        return None
    _load_authority(context, tls.authority)
    context.verify_mode = CERT_REQUIRED
    return context


def peer_client_context(tls: TlsSettings) -> SSLContext | None:
    """Return the context of a connection to another instance.

    Returns None when TLS is off.
    """
    if not tls.enabled:
        return None
    context = client_context(tls.authority)
    _load_own_certificate(context, tls)
    return context


def client_context(authority: str) -> SSLContext:
    """Return the context of a connection that verifies the listener's certificate."""
    context = SSLContext(PROTOCOL_TLS_CLIENT)
    context.minimum_version = TLSVersion.TLSv1_2
    _load_authority(context, authority)
    return context


def accept_tls(sock: socket, context: SSLContext | None, *, timeout_s: float) -> socket:
    """Do the TLS handshake on an accepted socket; without a context return it as is.

    Raises
    ------
    FailureError
        With `PeerUnreachable` when the handshake fails or takes too long.
    """
    if context is None:
        return sock
    sock.settimeout(timeout_s)
    try:
        return context.wrap_socket(sock, server_side=True)
    except (OSError, SSLError) as error:
        count_dropped(Endpoint.CONTROL, DropReason.HANDSHAKE_FAILED)
        sock.close()
        failure = PeerUnreachable(address="", detail=f"TLS handshake failed: {error}")
        raise FailureError(failure) from error


def connect_tls(sock: socket, context: SSLContext | None, *, host: str) -> socket:
    """Start TLS on a connected socket; without a context return it as is.

    Raises
    ------
    OSError
        When the listener's certificate is not trusted, or the connection is lost.
    """
    if context is None:
        return sock
    return context.wrap_socket(sock, server_hostname=host)


def _load_own_certificate(context: SSLContext, tls: TlsSettings) -> None:
    try:
        context.load_cert_chain(tls.certificate, tls.private_key)
    except (OSError, SSLError) as error:
        raise _unreadable_error(tls.certificate, error) from error


def _load_authority(context: SSLContext, authority: str) -> None:
    try:
        context.load_verify_locations(cafile=str(Path(authority)))
    except (OSError, SSLError) as error:
        raise _unreadable_error(authority, error) from error


def _unreadable_error(path: str, error: Exception) -> FailureError:
    return FailureError(FileUnreadable(path=path, detail=str(error)))
