/*
 * Makes system calls of one process fail in documented ways, and steps its wall clock. It is preloaded into
 * a router under test. The faults are read from a shared file that the test writes to, so that they begin
 * and end while the router runs.
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

/*
 * The calls are in the order of `SystemCall` in src/preload.rs. Each has two slots: the number N for which
 * every Nth call fails (0 if none fails), and the error number.
 */
enum call { RECV, PEEK, SEND, WRITEV, ACCEPT, CONNECT, SOCKET, POLL, CALL_COUNT };
/*
 * The slots after them: the maximum number of bytes of one read or write (0 for no limit), the step of the
 * wall clock in microseconds, and the number of failures of each call.
 */
enum { MAX_TRANSFER = 2 * CALL_COUNT, CLOCK_STEP, FAILURES, SLOT_COUNT = FAILURES + CALL_COUNT };

static volatile int64_t *slots;
static int64_t call_counts[CALL_COUNT];

/*
 * The C library's functions that the ones below replace. They are looked up once: a look-up takes a lock of
 * the loader, and a signal handler that interrupts a thread during a look-up would deadlock.
 */
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
    void *map = mmap(NULL, SLOT_COUNT * sizeof(int64_t), PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
    if (map != MAP_FAILED)
        slots = map;
    close(file);
}

static int should_fail(enum call call)
{
    int64_t every = slots ? slots[2 * call] : 0;
    if (every <= 0 || __atomic_add_fetch(&call_counts[call], 1, __ATOMIC_RELAXED) % every != 0)
        return 0;
    __atomic_add_fetch(&slots[FAILURES + call], 1, __ATOMIC_RELAXED);
    errno = (int)slots[2 * call + 1];
    return 1;
}

static size_t limit_length(size_t length)
{
    int64_t max_bytes = slots ? slots[MAX_TRANSFER] : 0;
    return max_bytes > 0 && (size_t)max_bytes < length ? (size_t)max_bytes : length;
}

/* Other constructors may make calls before the look-up above. */
#define REAL(name) (real_##name ? real_##name : (__typeof__(&name))dlsym(RTLD_NEXT, #name))

ssize_t recv(int socket, void *buffer, size_t length, int flags)
{
    if (should_fail(flags & MSG_PEEK ? PEEK : RECV))
        return -1;
    return REAL(recv)(socket, buffer, limit_length(length), flags);
}

ssize_t send(int socket, const void *buffer, size_t length, int flags)
{
    if (should_fail(SEND))
        return -1;
    return REAL(send)(socket, buffer, limit_length(length), flags);
}

ssize_t writev(int file, const struct iovec *parts, int count)
{
    if (should_fail(WRITEV))
        return -1;
    for (int part = 0; part < count; part++) {
        if (parts[part].iov_len == 0)
            continue;
        size_t length = limit_length(parts[part].iov_len);
        if (length == parts[part].iov_len)
            break;
        struct iovec first = { parts[part].iov_base, length };
        return REAL(writev)(file, &first, 1);
    }
    return REAL(writev)(file, parts, count);
}

int accept4(int socket, struct sockaddr *address, socklen_t *length, int flags)
{
    if (should_fail(ACCEPT))
        return -1;
    return REAL(accept4)(socket, address, length, flags);
}

int connect(int socket, const struct sockaddr *address, socklen_t length)
{
    if (should_fail(CONNECT))
        return -1;
    return REAL(connect)(socket, address, length);
}

int socket(int domain, int type, int protocol)
{
    if (should_fail(SOCKET))
        return -1;
    return REAL(socket)(domain, type, protocol);
}

int poll(struct pollfd *descriptors, nfds_t count, int timeout)
{
    if (should_fail(POLL))
        return -1;
    return REAL(poll)(descriptors, count, timeout);
}

int clock_gettime(clockid_t clock, struct timespec *time)
{
    int outcome = REAL(clock_gettime)(clock, time);
    if (outcome == 0 && clock == CLOCK_REALTIME && slots && slots[CLOCK_STEP] != 0) {
        int64_t nanos = time->tv_nsec + slots[CLOCK_STEP] % 1000000 * 1000;
        time->tv_sec += slots[CLOCK_STEP] / 1000000 + (nanos >= 1000000000) - (nanos < 0);
        time->tv_nsec = nanos >= 1000000000 ? nanos - 1000000000 : nanos < 0 ? nanos + 1000000000 : nanos;
    }
    return outcome;
}
