"""Stream sockets on the event loop: transports, connecting and accepting.

They take the place of the loop's own transports, which end a connection for a system call that fails for a
moment, and lose the bytes in transit. Here `ENOMEM` and `ENOBUFS` are retried shortly after, as `EINTR` and
`EAGAIN` are. Likewise a process without free descriptors leaves new connections waiting, where the loop's
own listener closes the next one.
"""
