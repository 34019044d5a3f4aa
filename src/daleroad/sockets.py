"""Socket options that bound the silence of a connection's peer."""

import socket

_KEEPALIVE_PROBE_SECONDS = 1
"""Idle time before the first TCP keep-alive probe, and the interval of the probes."""

_UNACKED_MARGIN_SECONDS = 0.5
"""How much shorter than the allowed silence unacknowledged data may wait. On Linux this limit also
decides when keep-alive probes give up, whatever their count."""

_RECEIVE_BUFFER_BYTES = 131_072
"""Without a size the kernel lets a buffer that is not read grow to megabytes, which count as memory
of the process: an answer waits there while its client does not read."""


def make_socket_options(silence: float) -> list[tuple[int, int, int]]:
    """Return socket options that end a connection once the peer's TCP acknowledges nothing.

    They also bound what the kernel receives ahead of the process.

    :param silence: seconds without an acknowledgement, of data or of keep-alive probes, after which
        the connection ends.
    """
    probes = max(1, round(silence / _KEEPALIVE_PROBE_SECONDS) - 1)
    unacked_ms = int(1000 * (silence - _UNACKED_MARGIN_SECONDS))
    return [
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_PROBE_SECONDS),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_PROBE_SECONDS),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, probes),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, unacked_ms),
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        (socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES),
    ]
