/*
 * Fails system calls of one process in documented ways, and steps its wall clock. It is preloaded into a router under test;
 * what it does is read from a shared file that the test writes to, so that faults begin and end while the router runs.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

/* The order of the slots is that of `Call` in src/preload.rs; two for each call: every how many fail, and with what. */
enum call { RECV, PEEK, SEND, WRITEV, ACCEPT, CONNECT, SOCKET, POLL, CALLS };
/* Behind them: the most bytes that one read or write passes on, the step of the wall clock in microseconds, and how often each call
 * was made to fail. */
enum { SHORTEST = 2 * CALLS, STEP, FAILED, SLOTS = FAILED + CALLS };

static volatile int64_t *slots;
static int64_t counts[CALLS];

/* The calls of the C library behind those below. They are looked up once: a look-up takes a lock of the loader, and a handler of a signal that
 * comes to a thread in a look-up would wait for itself. */
#define REAL_CALLS(EACH) \
    EACH(recv) EACH(send) EACH(writev) EACH(accept4) EACH(connect) EACH(socket) EACH(poll) EACH(clock_gettime)
#define POINTER(name) static __typeof__(&name) real_##name;
REAL_CALLS(POINTER)
#define LOOK_UP(name) real_##name = (__typeof__(&name))dlsym(RTLD_NEXT, #name);

__attribute__((constructor)) static void attach(void)
{
    REAL_CALLS(LOOK_UP)
    const char *path = getenv("WOADHOOK_FAULTS");
    int file = path ? open(path, O_RDWR | O_CLOEXEC) : -1;
    if (file < 0)
        return;
    void *map = mmap(NULL, SLOTS * sizeof(int64_t), PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
    if (map != MAP_FAILED)
        slots = map;
    close(file);
}

static int fails(enum call call)
{
    int64_t every = slots ? slots[2 * call] : 0;
    if (every <= 0 || __atomic_add_fetch(&counts[call], 1, __ATOMIC_RELAXED) % every != 0)
        return 0;
    __atomic_add_fetch(&slots[FAILED + call], 1, __ATOMIC_RELAXED);
    errno = (int)slots[2 * call + 1];
    return 1;
}

static size_t shortened(size_t length)
{
    int64_t most = slots ? slots[SHORTEST] : 0;
    return most > 0 && (size_t)most < length ? (size_t)most : length;
}

/* Calls of other constructors may come before the look-up above. */
#define REAL(name) (real_##name ? real_##name : (__typeof__(&name))dlsym(RTLD_NEXT, #name))

ssize_t recv(int socket, void *buffer, size_t length, int flags)
{
    if (fails(flags & MSG_PEEK ? PEEK : RECV))
        return -1;
    return REAL(recv)(socket, buffer, shortened(length), flags);
}

ssize_t send(int socket, const void *buffer, size_t length, int flags)
{
    if (fails(SEND))
        return -1;
    return REAL(send)(socket, buffer, shortened(length), flags);
}

ssize_t writev(int file, const struct iovec *parts, int count)
{
    if (fails(WRITEV))
        return -1;
    for (int part = 0; part < count; part++) {
        if (parts[part].iov_len == 0)
            continue;
        size_t length = shortened(parts[part].iov_len);
        if (length == parts[part].iov_len)
            break;
        struct iovec first = { parts[part].iov_base, length };
        return REAL(writev)(file, &first, 1);
    }
    return REAL(writev)(file, parts, count);
}

int accept4(int socket, struct sockaddr *address, socklen_t *length, int flags)
{
    if (fails(ACCEPT))
        return -1;
    return REAL(accept4)(socket, address, length, flags);
}

int connect(int socket, const struct sockaddr *address, socklen_t length)
{
    if (fails(CONNECT))
        return -1;
    return REAL(connect)(socket, address, length);
}

int socket(int domain, int type, int protocol)
{
    if (fails(SOCKET))
        return -1;
    return REAL(socket)(domain, type, protocol);
}

int poll(struct pollfd *looked, nfds_t count, int timeout)
{
    if (fails(POLL))
        return -1;
    return REAL(poll)(looked, count, timeout);
}

int clock_gettime(clockid_t clock, struct timespec *time)
{
    int outcome = REAL(clock_gettime)(clock, time);
    if (outcome == 0 && clock == CLOCK_REALTIME && slots && slots[STEP] != 0) {
        int64_t nanos = time->tv_nsec + slots[STEP] % 1000000 * 1000;
        time->tv_sec += slots[STEP] / 1000000 + (nanos >= 1000000000) - (nanos < 0);
        time->tv_nsec = nanos >= 1000000000 ? nanos - 1000000000 : nanos < 0 ? nanos + 1000000000 : nanos;
    }
    return outcome;
}
