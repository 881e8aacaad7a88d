/* Makes system calls of one process fail as Linux documents. Loaded with LD_PRELOAD into processes that a test starts.
 *
 * FAILING_CALLS names a control file, mapped shared (see failing_calls.py for its layout): whoever holds it turns
 * failures on and off while the process runs. A failing call does nothing but set errno; a short one moves one byte.
 * Calls on sockets fail only on sockets, those on disks only on regular files: logs and wake-up pipes are left alone.
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

enum call { ACCEPT, CONNECT, SOCKET, RECV, SEND, WAIT, DISK_WRITE, DISK_SYNC, CALLS };

struct failure {
    int32_t per_million; /* how often */
    int32_t error;       /* errno; 0: a short transfer */
    int32_t left;        /* so many more; negative: without end */
    int32_t done;        /* how many have failed */
};

struct control {
    int64_t wall_offset_ns;
    struct failure failures[CALLS];
};

static struct control none;
static volatile struct control *control = &none;
static uint64_t state = 88172645463325252ull;

/* The C library's own function. */
#define NEXT(name) ({ \
    static __typeof__(&name) found; \
    if (!found) found = (__typeof__(&name))dlsym(RTLD_NEXT, #name); \
    found; \
})

__attribute__((constructor)) static void map_control(void) {
    const char *path = getenv("FAILING_CALLS"), *seed = getenv("FAILING_CALLS_SEED");
    if (seed) state ^= strtoull(seed, NULL, 10) * 2654435761ull;
    if (!state) state = 1;
    if (!path) return;
    int fd = open(path, O_RDWR | O_CLOEXEC);
    if (fd < 0) return;
    void *mapped = mmap(NULL, sizeof(struct control), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
    close(fd);
    if (mapped != MAP_FAILED) control = mapped;
}

static uint32_t draw(void) {
    state ^= state << 13;
    state ^= state >> 7;
    state ^= state << 17;
    return (uint32_t)(state >> 16) % 1000000u;
}

/* Whether this call is to fail; then *error is set. */
static int fails(enum call call, int *error) {
    volatile struct failure *f = &control->failures[call];
    if (f->per_million <= 0 || f->left == 0 || draw() >= (uint32_t)f->per_million) return 0;
    if (f->left > 0) f->left--;
    f->done++;
    *error = f->error;
    return 1;
}

static int is_socket(int fd) {
    struct stat s;
    return fstat(fd, &s) == 0 && S_ISSOCK(s.st_mode);
}

static int is_disk(int fd) {
    struct stat s;
    return fd > 2 && fstat(fd, &s) == 0 && S_ISREG(s.st_mode);
}

/* What a transfer may move: `length`, or one byte where it is to be short; -1 where it fails. */
static ssize_t allowed(int fd, enum call call, size_t length) {
    int error;
    int hit = call == DISK_WRITE ? is_disk(fd) : is_socket(fd);
    if (!hit || !fails(call, &error)) return (ssize_t)length;
    if (error == 0) return length ? 1 : 0;
    errno = error;
    return -1;
}

int accept(int fd, struct sockaddr *a, socklen_t *l) {
    int error;
    if (fails(ACCEPT, &error)) { errno = error; return -1; }
    return NEXT(accept)(fd, a, l);
}

int accept4(int fd, struct sockaddr *a, socklen_t *l, int flags) {
    int error;
    if (fails(ACCEPT, &error)) { errno = error; return -1; }
    return NEXT(accept4)(fd, a, l, flags);
}

int connect(int fd, const struct sockaddr *a, socklen_t l) {
    int error;
    if (a && a->sa_family == AF_INET && fails(CONNECT, &error)) { errno = error; return -1; }
    return NEXT(connect)(fd, a, l);
}

int socket(int domain, int type, int protocol) {
    int error;
    if (domain == AF_INET && fails(SOCKET, &error)) { errno = error; return -1; }
    return NEXT(socket)(domain, type, protocol);
}

ssize_t recv(int fd, void *data, size_t length, int flags) {
    ssize_t most = allowed(fd, RECV, length);
    return most < 0 ? -1 : NEXT(recv)(fd, data, (size_t)most, flags);
}

ssize_t read(int fd, void *data, size_t length) {
    ssize_t most = allowed(fd, RECV, length);
    return most < 0 ? -1 : NEXT(read)(fd, data, (size_t)most);
}

ssize_t send(int fd, const void *data, size_t length, int flags) {
    ssize_t most = allowed(fd, SEND, length);
    return most < 0 ? -1 : NEXT(send)(fd, data, (size_t)most, flags);
}

ssize_t write(int fd, const void *data, size_t length) {
    ssize_t most = allowed(fd, is_disk(fd) ? DISK_WRITE : SEND, length);
    return most < 0 ? -1 : NEXT(write)(fd, data, (size_t)most);
}

ssize_t pwrite(int fd, const void *data, size_t length, off_t at) {
    ssize_t most = allowed(fd, DISK_WRITE, length);
    return most < 0 ? -1 : NEXT(pwrite)(fd, data, (size_t)most, at);
}

ssize_t writev(int fd, const struct iovec *parts, int count) {
    size_t length = 0;
    for (int i = 0; i < count; i++) length += parts[i].iov_len;
    ssize_t most = allowed(fd, is_disk(fd) ? DISK_WRITE : SEND, length);
    if (most < 0) return -1;
    if ((size_t)most < length && count > 0 && parts[0].iov_len > 0) return NEXT(write)(fd, parts[0].iov_base, 1);
    return NEXT(writev)(fd, parts, count);
}

int fsync(int fd) {
    int error;
    if (is_disk(fd) && fails(DISK_SYNC, &error)) { errno = error; return -1; }
    return NEXT(fsync)(fd);
}

int fdatasync(int fd) {
    int error;
    if (is_disk(fd) && fails(DISK_SYNC, &error)) { errno = error; return -1; }
    return NEXT(fdatasync)(fd);
}

int epoll_wait(int fd, struct epoll_event *events, int most, int timeout) {
    int error;
    if (fails(WAIT, &error)) { errno = error; return -1; }
    return NEXT(epoll_wait)(fd, events, most, timeout);
}

int epoll_pwait(int fd, struct epoll_event *events, int most, int timeout, const sigset_t *mask) {
    int error;
    if (fails(WAIT, &error)) { errno = error; return -1; }
    return NEXT(epoll_pwait)(fd, events, most, timeout, mask);
}

int poll(struct pollfd *fds, nfds_t count, int timeout) {
    int error;
    if (fails(WAIT, &error)) { errno = error; return -1; }
    return NEXT(poll)(fds, count, timeout);
}

static void shift(struct timespec *t) {
    int64_t at = t->tv_sec * 1000000000ll + t->tv_nsec + control->wall_offset_ns;
    t->tv_sec = at / 1000000000ll;
    t->tv_nsec = at % 1000000000ll;
}

int clock_gettime(clockid_t clock, struct timespec *t) {
    int status = NEXT(clock_gettime)(clock, t);
    if (status == 0 && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE)) shift(t);
    return status;
}

int gettimeofday(struct timeval *restrict t, void *restrict zone) {
    struct timespec now;
    (void)zone;
    clock_gettime(CLOCK_REALTIME, &now);
    t->tv_sec = now.tv_sec;
    t->tv_usec = now.tv_nsec / 1000;
    return 0;
}

time_t time(time_t *out) {
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    if (out) *out = now.tv_sec;
    return now.tv_sec;
}
