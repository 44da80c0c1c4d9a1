"""The errors of system calls that are temporary, and the delay before a retry."""

from __future__ import annotations

import errno

RETRY_DELAY_S = 0.01  # delay after a system call failed for lack of memory or descriptors
MEMORY_SHORTAGE = frozenset((errno.ENOMEM, errno.ENOBUFS))
RESOURCE_SHORTAGE = MEMORY_SHORTAGE | {errno.EMFILE, errno.ENFILE}
CONNECT_IN_PROGRESS = frozenset((errno.EINPROGRESS, errno.EALREADY))
