/* A preloaded library that makes system calls of one process fail, and steps its wall clock, on command.
 *
 * The file named by the environment variable FAULT_CONTROL is mapped as `struct control` and shared with
 * faults/preload.py, which writes it. Each kind of call has a slot. While `count` of a slot is above 0, each
 * call of this kind fails with `error`, after `skip` calls that succeed. If `error` is 0, it transfers at
 * most `limit` bytes instead. While `count` is 0, `per_million` of a million calls fail at random with one
 * of `errors` or transfer fewer bytes. Reads and writes are affected on stream sockets only.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

enum kind { SOCKET, CONNECT, ACCEPT, READ, WRITE, EPOLL_CTL, EPOLL_WAIT, POLL, KINDS };
#define ERRORS 8

struct slot {
    int32_t skip;
    int32_t count;
    int32_t error;       /* an errno value; 0 stands for a short transfer */
    int32_t limit;       /* the most bytes of a short transfer */
    int32_t per_million; /* probability of a random fault, in millionths */
    int32_t hits;        /* number of faults so far, commanded and random */
    int32_t errors[ERRORS]; /* for random faults: errno values; -1 is a short transfer, 0 ends the list */
};

struct control {
    int64_t clock_offset_us; /* added to the wall clock */
    uint64_t random;         /* state of the random number generator */
    struct slot slots[KINDS];
};

static struct control *control;

__attribute__((constructor)) static void attach(void)
{
    const char *path = getenv("FAULT_CONTROL");
    int file = path ? open(path, O_RDWR | O_CLOEXEC) : -1;
    if (file < 0)
        return;
    void *mapped = mmap(NULL, sizeof *control, PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
    close(file);
    if (mapped != MAP_FAILED)
        control = mapped;
}

static void *next_symbol(const char *name)
{
    return dlsym(RTLD_NEXT, name);
}

#define REAL(result, name, ...)                                     \
    static result (*real)(__VA_ARGS__);                             \
    if (!real)                                                      \
        real = (result(*)(__VA_ARGS__))next_symbol(name)

static uint32_t draw(void)
{
    uint64_t x = control->random;
    x ^= x << 13;
    x ^= x >> 7;
    x ^= x << 17;
    control->random = x;
    return (uint32_t)(x >> 32);
}

static int is_stream_socket(int descriptor)
{
    int type = 0;
    socklen_t size = sizeof type;
    int before = errno;
    int found = getsockopt(descriptor, SOL_SOCKET, SO_TYPE, &type, &size) == 0 && type == SOCK_STREAM;
    errno = before;
    return found;
}

/* Returns 0 if the call is to be made unchanged, the errno value that it is to fail with, or -1 if it is to
 * transfer at most *limit bytes. */
static int fault(enum kind kind, int descriptor, size_t *limit)
{
    if (!control)
        return 0;
    struct slot *slot = &control->slots[kind];
    if (slot->count <= 0 && slot->per_million <= 0)
        return 0;
    if ((kind == READ || kind == WRITE) && !is_stream_socket(descriptor))
        return 0;
    if (slot->count > 0) {
        if (slot->skip > 0) {
            slot->skip--;
            return 0;
        }
        slot->count--;
        slot->hits++;
        *limit = slot->limit > 0 ? (size_t)slot->limit : 1;
        return slot->error ? slot->error : -1;
    }
    if ((int32_t)(draw() % 1000000) >= slot->per_million)
        return 0;
    int errors = 0;
    while (errors < ERRORS && slot->errors[errors])
        errors++;
    if (!errors)
        return 0;
    slot->hits++;
    *limit = 1 + draw() % 64;
    return slot->errors[draw() % errors];
}

#define FAIL_OR_PASS(kind, descriptor)                     \
    size_t limit = 0;                                      \
    int error = fault(kind, descriptor, &limit);           \
    if (error > 0) {                                       \
        errno = error;                                     \
        return -1;                                         \
    }

#define AT_MOST(size) (error < 0 && (size) > limit ? limit : (size))

int socket(int domain, int type, int protocol)
{
    REAL(int, "socket", int, int, int);
    FAIL_OR_PASS(SOCKET, -1)
    return real(domain, type, protocol);
}

int connect(int descriptor, const struct sockaddr *address, socklen_t size)
{
    REAL(int, "connect", int, const struct sockaddr *, socklen_t);
    FAIL_OR_PASS(CONNECT, descriptor)
    return real(descriptor, address, size);
}

int accept4(int descriptor, struct sockaddr *address, socklen_t *size, int flags)
{
    REAL(int, "accept4", int, struct sockaddr *, socklen_t *, int);
    FAIL_OR_PASS(ACCEPT, descriptor)
    return real(descriptor, address, size, flags);
}

ssize_t read(int descriptor, void *data, size_t size)
{
    REAL(ssize_t, "read", int, void *, size_t);
    FAIL_OR_PASS(READ, descriptor)
    return real(descriptor, data, AT_MOST(size));
}

ssize_t recv(int descriptor, void *data, size_t size, int flags)
{
    REAL(ssize_t, "recv", int, void *, size_t, int);
    FAIL_OR_PASS(READ, descriptor)
    return real(descriptor, data, AT_MOST(size), flags);
}

ssize_t write(int descriptor, const void *data, size_t size)
{
    REAL(ssize_t, "write", int, const void *, size_t);
    FAIL_OR_PASS(WRITE, descriptor)
    return real(descriptor, data, AT_MOST(size));
}

ssize_t send(int descriptor, const void *data, size_t size, int flags)
{
    REAL(ssize_t, "send", int, const void *, size_t, int);
    FAIL_OR_PASS(WRITE, descriptor)
    return real(descriptor, data, AT_MOST(size), flags);
}

ssize_t writev(int descriptor, const struct iovec *parts, int count)
{
    REAL(ssize_t, "writev", int, const struct iovec *, int);
    FAIL_OR_PASS(WRITE, descriptor)
    if (error < 0 && count > 0)
        return write(descriptor, parts[0].iov_base, AT_MOST(parts[0].iov_len));
    return real(descriptor, parts, count);
}

ssize_t sendmsg(int descriptor, const struct msghdr *message, int flags)
{
    REAL(ssize_t, "sendmsg", int, const struct msghdr *, int);
    FAIL_OR_PASS(WRITE, descriptor)
    return real(descriptor, message, flags);
}

int epoll_ctl(int epoll, int operation, int descriptor, struct epoll_event *event)
{
    REAL(int, "epoll_ctl", int, int, int, struct epoll_event *);
    if (operation != EPOLL_CTL_DEL) {
        FAIL_OR_PASS(EPOLL_CTL, descriptor)
    }
    return real(epoll, operation, descriptor, event);
}

int epoll_wait(int epoll, struct epoll_event *events, int most, int timeout)
{
    REAL(int, "epoll_wait", int, struct epoll_event *, int, int);
    FAIL_OR_PASS(EPOLL_WAIT, -1)
    return real(epoll, events, most, timeout);
}

int epoll_pwait(int epoll, struct epoll_event *events, int most, int timeout, const sigset_t *mask)
{
    REAL(int, "epoll_pwait", int, struct epoll_event *, int, int, const sigset_t *);
    FAIL_OR_PASS(EPOLL_WAIT, -1)
    return real(epoll, events, most, timeout, mask);
}

int poll(struct pollfd *descriptors, nfds_t count, int timeout)
{
    REAL(int, "poll", struct pollfd *, nfds_t, int);
    FAIL_OR_PASS(POLL, -1)
    return real(descriptors, count, timeout);
}

int clock_gettime(clockid_t clock, struct timespec *when)
{
    REAL(int, "clock_gettime", clockid_t, struct timespec *);
    int status = real(clock, when);
    if (status == 0 && control && control->clock_offset_us && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE)) {
        int64_t us = (int64_t)when->tv_sec * 1000000 + when->tv_nsec / 1000 + control->clock_offset_us;
        when->tv_sec = us / 1000000;
        when->tv_nsec = us % 1000000 * 1000 + when->tv_nsec % 1000;
    }
    return status;
}

int gettimeofday(struct timeval *restrict when, void *restrict zone)
{
    struct timespec now;
    (void)zone;
    if (clock_gettime(CLOCK_REALTIME, &now))
        return -1;
    when->tv_sec = now.tv_sec;
    when->tv_usec = now.tv_nsec / 1000;
    return 0;
}

time_t time(time_t *when)
{
    struct timespec now;
    if (clock_gettime(CLOCK_REALTIME, &now))
        return -1;
    if (when)
        *when = now.tv_sec;
    return now.tv_sec;
}
