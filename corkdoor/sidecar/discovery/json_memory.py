"""Bounds the memory that a JSON document takes while it is read, from its text alone.

The sizes are upper bounds on 64-bit CPython.
"""

from __future__ import annotations

import re

DOCUMENT_BYTES = 4096  # the decoder, and the parts of any document
OBJECT_BYTES = 256  # a dictionary, with room for its first keys
SLOT_BYTES = 90  # a key's slot in its dictionary
KEY_BYTES = 150  # a key, and its slot in the decoder's table of keys; equal keys are one object
ARRAY_BYTES = 96
VALUE_BYTES = 80  # a number or a text without its characters, and its slot in an array
MAX_CHARACTER_BYTES = 4  # a character of a text that holds any character beyond ASCII
NUL = b"\0"  # occurs in JSON in UTF-16 and UTF-32 only
MAX_SHARED_KEYS = 64  # with more different keys, all are counted as different
# A text, and the colon behind it if it is a key. The quantifiers are possessive, so that no state is saved.
TEXT = re.compile(rb'("[^"\\]*+(?:\\.[^"\\]*+)*+")(\s*+:)?', re.DOTALL)


def decoding_bytes(text: bytes) -> int:
    """Return the memory that decoding `text` takes at most, without `text` itself."""
    return _shared_bytes(text) + text.count(b":") * KEY_BYTES


def close_decoding_bytes(text: bytes) -> int:
    """Return a closer upper bound than `decoding_bytes` where objects share their keys; it takes longer."""
    if NUL in text:
        return decoding_bytes(text)  # texts look different in UTF-16
    keys: set[bytes] = set()
    for found in TEXT.finditer(text):
        if found[2] is not None:
            keys.add(found[1])
            if len(keys) > MAX_SHARED_KEYS:
                return decoding_bytes(text)
    return _shared_bytes(text) + len(keys) * KEY_BYTES


def _shared_bytes(text: bytes) -> int:
    """Return the memory of everything but the keys."""
    is_ascii = text.isascii() and b"\\u" not in text and NUL not in text
    character_bytes = 1 if is_ascii else MAX_CHARACTER_BYTES
    characters_bytes = 2 * character_bytes * len(text)  # all of the text once, and once more in its parts
    objects_bytes = text.count(b"{") * OBJECT_BYTES + text.count(b":") * SLOT_BYTES
    values_bytes = text.count(b"[") * ARRAY_BYTES + text.count(b",") * VALUE_BYTES
    return DOCUMENT_BYTES + characters_bytes + objects_bytes + values_bytes
