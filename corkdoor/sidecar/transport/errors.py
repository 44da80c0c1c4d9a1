"""Which system call errors are momentary, and how long to wait before the next try."""

from __future__ import annotations

import errno

RETRY_S = 0.01  # after a call that failed for want of memory or descriptors
MEMORY_SHORTAGE = frozenset((errno.ENOMEM, errno.ENOBUFS))
RESOURCE_SHORTAGE = MEMORY_SHORTAGE | {errno.EMFILE, errno.ENFILE}
CONNECT_IN_PROGRESS = frozenset((errno.EINPROGRESS, errno.EALREADY))
