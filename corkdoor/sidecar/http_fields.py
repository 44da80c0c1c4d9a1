"""Rules for HTTP header fields that apply to clients and endpoints alike."""

from __future__ import annotations

# Headers that apply to one connection, and not to the message (RFC 9110, section 7.6.1).
HOP_BY_HOP_FIELDS = frozenset(
    (
        b"connection", b"keep-alive", b"proxy-connection", b"te", b"trailer", b"transfer-encoding",
        b"upgrade", b"content-length", b"expect",
    )
)  # fmt: skip
OPTIONAL_WHITESPACE = b" \t"  # may surround a header's value, and is not part of it (RFC 9110, section 5.5)
