/* Makes system calls of one process fail, come back short or late, and moves its wall clock, as a control page
 * shared with the soak says. Loaded with LD_PRELOAD; see soak/shim.py for the layout of the page. */

#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

enum call {
  CALL_ACCEPT, CALL_SOCKET, CALL_CONNECT, CALL_SETSOCKOPT, CALL_RECEIVE, CALL_SEND, CALL_LOG,
  CALL_POLL, CALL_EPOLL, CALL_OPEN, CALL_FSYNC, CALL_RENAME, CALL_WRITE_FILE, CALLS
};

struct fault {
  int32_t per_mille; /* of the calls fail */
  int32_t error;     /* with this errno */
};

struct page {
  int64_t wall_step_ns; /* added to the wall clock */
  int32_t hold_ms;      /* how long a process is held after it has read a clock */
  int32_t hold_per_mille;
  int32_t short_per_mille; /* of reads and writes on sockets move one byte only */
  int32_t unused;
  struct fault faults[CALLS];
};

static volatile struct page *page;
static __thread uint64_t random_state;

static void *real(const char *name) {
  void *found = dlsym(RTLD_NEXT, name);
  if (found == NULL) {
    fprintf(stderr, "shim: no %s\n", name);
    abort();
  }
  return found;
}

#define REAL(name) ({ static __typeof__(&name) found; if (!found) found = real(#name); found; })

__attribute__((constructor)) static void begin(void) {
  const char *path = getenv("SOAK_SHIM_PAGE");
  int fd = path ? REAL(open)(path, O_RDWR) : -1;
  if (fd < 0) return;
  void *at = mmap(NULL, sizeof(struct page), PROT_READ, MAP_SHARED, fd, 0);
  close(fd);
  if (at != MAP_FAILED) page = at;
}

static uint32_t draw(void) {
  if (random_state == 0) {
    const char *seed = getenv("SOAK_SHIM_SEED");
    random_state = (seed ? strtoull(seed, NULL, 10) : 1) * 0x9E3779B97F4A7C15u + (uint64_t)getpid();
  }
  random_state ^= random_state << 13;
  random_state ^= random_state >> 7;
  random_state ^= random_state << 17;
  return (uint32_t)(random_state >> 33) % 1000;
}

static int fails(enum call call) {
  if (page == NULL || page->faults[call].per_mille <= 0) return 0;
  if ((int32_t)draw() >= page->faults[call].per_mille) return 0;
  errno = page->faults[call].error;
  return 1;
}

static size_t shortened(size_t size) {
  if (page == NULL || size < 2 || page->short_per_mille <= 0) return size;
  return (int32_t)draw() < page->short_per_mille ? 1 : size;
}

static int is_socket(int fd) {
  struct stat state;
  return fstat(fd, &state) == 0 && S_ISSOCK(state.st_mode);
}

int accept(int fd, struct sockaddr *restrict at, socklen_t *restrict size) {
  return fails(CALL_ACCEPT) ? -1 : REAL(accept)(fd, at, size);
}

int accept4(int fd, struct sockaddr *restrict at, socklen_t *restrict size, int flags) {
  return fails(CALL_ACCEPT) ? -1 : REAL(accept4)(fd, at, size, flags);
}

int socket(int domain, int type, int protocol) {
  return fails(CALL_SOCKET) ? -1 : REAL(socket)(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *at, socklen_t size) {
  return fails(CALL_CONNECT) ? -1 : REAL(connect)(fd, at, size);
}

int setsockopt(int fd, int level, int name, const void *value, socklen_t size) {
  return fails(CALL_SETSOCKOPT) ? -1 : REAL(setsockopt)(fd, level, name, value, size);
}

ssize_t recv(int fd, void *buffer, size_t size, int flags) {
  return fails(CALL_RECEIVE) ? -1 : REAL(recv)(fd, buffer, shortened(size), flags);
}

ssize_t recvfrom(int fd, void *buffer, size_t size, int flags, struct sockaddr *restrict at,
                 socklen_t *restrict length) {
  return fails(CALL_RECEIVE) ? -1 : REAL(recvfrom)(fd, buffer, shortened(size), flags, at, length);
}

ssize_t read(int fd, void *buffer, size_t size) {
  if (page == NULL || !is_socket(fd)) return REAL(read)(fd, buffer, size);
  return fails(CALL_RECEIVE) ? -1 : REAL(read)(fd, buffer, shortened(size));
}

ssize_t send(int fd, const void *buffer, size_t size, int flags) {
  return fails(CALL_SEND) ? -1 : REAL(send)(fd, buffer, shortened(size), flags);
}

ssize_t sendmsg(int fd, const struct msghdr *message, int flags) {
  if (fails(CALL_SEND)) return -1;
  if (message->msg_iovlen > 0 && shortened(2) == 1) {
    struct iovec first = {message->msg_iov[0].iov_base, message->msg_iov[0].iov_len ? 1 : 0};
    struct msghdr one = *message;
    one.msg_iov = &first;
    one.msg_iovlen = 1;
    return REAL(sendmsg)(fd, &one, flags);
  }
  return REAL(sendmsg)(fd, message, flags);
}

ssize_t write(int fd, const void *buffer, size_t size) {
  if (page == NULL) return REAL(write)(fd, buffer, size);
  if (fd == STDOUT_FILENO || fd == STDERR_FILENO) {
    return fails(CALL_LOG) ? -1 : REAL(write)(fd, buffer, size);
  }
  struct stat state;
  int is_file = fstat(fd, &state) == 0 && S_ISREG(state.st_mode);
  return is_file && fails(CALL_WRITE_FILE) ? -1 : REAL(write)(fd, buffer, size);
}

int poll(struct pollfd *fds, nfds_t count, int timeout) {
  return fails(CALL_POLL) ? -1 : REAL(poll)(fds, count, timeout);
}

int epoll_wait(int fd, struct epoll_event *events, int most, int timeout) {
  return fails(CALL_EPOLL) ? -1 : REAL(epoll_wait)(fd, events, most, timeout);
}

static int open_fails(int flags) { return (flags & O_ACCMODE) != O_RDONLY && fails(CALL_OPEN); }

int open(const char *path, int flags, ...) {
  va_list rest;
  va_start(rest, flags);
  mode_t mode = va_arg(rest, mode_t);
  va_end(rest);
  return open_fails(flags) ? -1 : REAL(open)(path, flags, mode);
}

int open64(const char *path, int flags, ...) {
  va_list rest;
  va_start(rest, flags);
  mode_t mode = va_arg(rest, mode_t);
  va_end(rest);
  return open_fails(flags) ? -1 : REAL(open64)(path, flags, mode);
}

int fsync(int fd) { return fails(CALL_FSYNC) ? -1 : REAL(fsync)(fd); }

int fdatasync(int fd) { return fails(CALL_FSYNC) ? -1 : REAL(fdatasync)(fd); }

int rename(const char *from, const char *to) { return fails(CALL_RENAME) ? -1 : REAL(rename)(from, to); }

int clock_gettime(clockid_t clock, struct timespec *at) {
  int result = REAL(clock_gettime)(clock, at);
  if (page == NULL || result != 0) return result;
  if (clock == CLOCK_REALTIME && page->wall_step_ns != 0) {
    int64_t ns = (int64_t)at->tv_sec * 1000000000 + at->tv_nsec + page->wall_step_ns;
    at->tv_sec = ns / 1000000000;
    at->tv_nsec = ns % 1000000000;
  }
  if (page->hold_ms > 0 && (int32_t)draw() < page->hold_per_mille) {
    struct timespec hold = {page->hold_ms / 1000, (page->hold_ms % 1000) * 1000000L};
    nanosleep(&hold, NULL);
  }
  return result;
}
