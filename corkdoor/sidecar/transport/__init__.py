"""Stream sockets on the event loop: transports, connecting and accepting.

They replace the event loop's own transports, which close a connection when a system call fails temporarily,
so that the bytes in transit are lost. Here `ENOMEM` and `ENOBUFS` are retried after a short delay, like
`EINTR` and `EAGAIN`. When the process has no free descriptors, new connections wait in the kernel, whereas
the loop's own listener would close the next one.
"""
