"""Encoding of HTTP/1.1 responses."""

from __future__ import annotations

from http import HTTPStatus

from corkdoor.sidecar.http_fields import HOP_BY_HOP_FIELDS

STATUS_PHRASES = {status.value: status.phrase.encode() for status in HTTPStatus}


def encode_response(status: int, headers: list[tuple[bytes, bytes]], body: bytes, keep_alive: bool) -> bytes:
    """Encode a response, with its own Content-Length and without the hop-by-hop headers among `headers`.

    Args:
        status: the status code.
        headers: the name and value of each header.
        body: the body.
        keep_alive: whether the connection stays open; if not, `Connection: close` is added.
    """
    lines = [b"HTTP/1.1 %d %s" % (status, STATUS_PHRASES[status]), b"Content-Length: %d" % len(body)]
    lines += [b"%s: %s" % header for header in headers if header[0].lower() not in HOP_BY_HOP_FIELDS]
    if not keep_alive:
        lines.append(b"Connection: close")
    return b"\r\n".join(lines) + b"\r\n\r\n" + body
