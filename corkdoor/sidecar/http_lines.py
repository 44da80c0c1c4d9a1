"""The lines of an HTTP/1.1 head: where they end, and whether the first one names the protocol HTTP.

httptools also parses messages of RTSP and ICE, and reports neither the protocol nor where a message begins.
Its users therefore pass the first line of each message in a step of its own, and check that line here.
"""

from __future__ import annotations

import re

# The longest part of a first line that has to be known: the space before the protocol up to the line's end.
PROTOCOL_BYTES = len(b" HTTP/1.1\r\n")
REQUEST_LINE_END = re.compile(rb" HTTP/1\.[01]\r\n\Z")
STATUS_LINE_BEGIN = re.compile(rb"HTTP/1\.[01] ")
FINAL_STATUS_LINE_BEGIN = re.compile(rb"HTTP/1\.[01] [2-9]")  # lower statuses are interim
HEAD_END = b"\r\n\r\n"


def line_end(data: bytes, start: int) -> int:
    """Return the index behind the line that begins at `start`, or behind the data if it is incomplete."""
    return data.find(b"\n", start) + 1 or len(data)


def head_end(data: bytes, start: int) -> int:
    """Return the index behind the head whose next line begins at `start`, after another line in `data`.

    If the head is incomplete, it is the index behind that line.
    """
    index = data.find(HEAD_END, start - 2)  # an empty line may follow at once
    return index + len(HEAD_END) if index >= 0 else line_end(data, start)


def names_other_protocol(data: bytes) -> bool:
    """Whether the name of another protocol occurs anywhere in `data`, at whatever place."""
    return b"RTSP/" in data or b"ICE/" in data


def is_request_line_end(line_end_bytes: bytes) -> bool:
    """Whether a request line with this end, of `PROTOCOL_BYTES` at least, is one of HTTP/1.0 or HTTP/1.1."""
    return REQUEST_LINE_END.search(line_end_bytes) is not None


def is_status_line_begin(line_begin_bytes: bytes) -> bool:
    """Whether a status line with this beginning, of `PROTOCOL_BYTES` at least, is one of HTTP/1.0 or 1.1."""
    return STATUS_LINE_BEGIN.match(line_begin_bytes) is not None


def begins_with_final_status(data: bytes | memoryview) -> bool:
    """Whether `data` begins with the status line of a final response of HTTP/1.0 or 1.1."""
    return FINAL_STATUS_LINE_BEGIN.match(data) is not None
