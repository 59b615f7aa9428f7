/* Makes system calls of one process fail, transfer a single byte or return late, and moves its wall clock.
 * Loaded with LD_PRELOAD and controlled by a page of memory that it shares with the soak: soak/shim.py writes
 * the page and has to follow its layout. */

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
  int32_t per_mille; /* share of the calls that fail */
  int32_t error;     /* errno of a failed call */
};

struct page {
  int64_t wall_step_ns; /* added to the wall clock */
  int32_t pause_ms;     /* how long a thread is paused after it has read a clock */
  int32_t pause_per_mille; /* share of clock reads with a pause */
  int32_t short_per_mille; /* share of reads and writes on sockets that transfer one byte only */
  int32_t unused;
  struct fault faults[CALLS];
};

static volatile struct page *page;
static __thread uint64_t random_state;

/* Returns the function that this file overrides. */
static void *find_original(const char *name) {
  void *found = dlsym(RTLD_NEXT, name);
  if (found == NULL) {
    fprintf(stderr, "shim: no symbol %s\n", name);
    abort();
  }
  return found;
}

#define ORIGINAL(name) ({ static __typeof__(&name) found; if (!found) found = find_original(#name); found; })

/* Maps the control page. Without one every call passes through unchanged. */
__attribute__((constructor)) static void map_control_page(void) {
  const char *path = getenv("SOAK_SHIM_PAGE");
  int fd = path ? ORIGINAL(open)(path, O_RDWR) : -1;
  if (fd < 0) return;
  void *mapped = mmap(NULL, sizeof(struct page), PROT_READ, MAP_SHARED, fd, 0);
  close(fd);
  if (mapped != MAP_FAILED) page = mapped;
}

/* Returns a pseudo-random number from 0 to 999, by a xorshift generator of each thread. */
static uint32_t random_per_mille(void) {
  if (random_state == 0) {
    const char *seed = getenv("SOAK_SHIM_SEED");
    random_state = (seed ? strtoull(seed, NULL, 10) : 1) * 0x9E3779B97F4A7C15u + (uint64_t)getpid();
  }
  random_state ^= random_state << 13;
  random_state ^= random_state >> 7;
  random_state ^= random_state << 17;
  return (uint32_t)(random_state >> 33) % 1000;
}

/* Returns whether this call is to fail, and sets errno if so. */
static int should_fail(enum call call) {
  if (page == NULL || page->faults[call].per_mille <= 0) return 0;
  if ((int32_t)random_per_mille() >= page->faults[call].per_mille) return 0;
  errno = page->faults[call].error;
  return 1;
}

/* Returns the size of a transfer: 1 where it is to be cut short. */
static size_t transfer_size(size_t size) {
  if (page == NULL || size < 2 || page->short_per_mille <= 0) return size;
  return (int32_t)random_per_mille() < page->short_per_mille ? 1 : size;
}

static int is_socket(int fd) {
  struct stat status;
  return fstat(fd, &status) == 0 && S_ISSOCK(status.st_mode);
}

int accept(int fd, struct sockaddr *restrict address, socklen_t *restrict size) {
  return should_fail(CALL_ACCEPT) ? -1 : ORIGINAL(accept)(fd, address, size);
}

int accept4(int fd, struct sockaddr *restrict address, socklen_t *restrict size, int flags) {
  return should_fail(CALL_ACCEPT) ? -1 : ORIGINAL(accept4)(fd, address, size, flags);
}

int socket(int domain, int type, int protocol) {
  return should_fail(CALL_SOCKET) ? -1 : ORIGINAL(socket)(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *address, socklen_t size) {
  return should_fail(CALL_CONNECT) ? -1 : ORIGINAL(connect)(fd, address, size);
}

int setsockopt(int fd, int level, int name, const void *value, socklen_t size) {
  return should_fail(CALL_SETSOCKOPT) ? -1 : ORIGINAL(setsockopt)(fd, level, name, value, size);
}

ssize_t recv(int fd, void *buffer, size_t size, int flags) {
  return should_fail(CALL_RECEIVE) ? -1 : ORIGINAL(recv)(fd, buffer, transfer_size(size), flags);
}

ssize_t recvfrom(int fd, void *buffer, size_t size, int flags, struct sockaddr *restrict address,
                 socklen_t *restrict length) {
  return should_fail(CALL_RECEIVE)
             ? -1
             : ORIGINAL(recvfrom)(fd, buffer, transfer_size(size), flags, address, length);
}

ssize_t read(int fd, void *buffer, size_t size) {
  if (page == NULL || !is_socket(fd)) return ORIGINAL(read)(fd, buffer, size);
  return should_fail(CALL_RECEIVE) ? -1 : ORIGINAL(read)(fd, buffer, transfer_size(size));
}

ssize_t send(int fd, const void *buffer, size_t size, int flags) {
  return should_fail(CALL_SEND) ? -1 : ORIGINAL(send)(fd, buffer, transfer_size(size), flags);
}

ssize_t sendmsg(int fd, const struct msghdr *message, int flags) {
  if (should_fail(CALL_SEND)) return -1;
  if (message->msg_iovlen > 0 && transfer_size(2) == 1) {
    struct iovec one_byte = {message->msg_iov[0].iov_base, message->msg_iov[0].iov_len ? 1 : 0};
    struct msghdr short_message = *message;
    short_message.msg_iov = &one_byte;
    short_message.msg_iovlen = 1;
    return ORIGINAL(sendmsg)(fd, &short_message, flags);
  }
  return ORIGINAL(sendmsg)(fd, message, flags);
}

ssize_t write(int fd, const void *buffer, size_t size) {
  if (page == NULL) return ORIGINAL(write)(fd, buffer, size);
  if (fd == STDOUT_FILENO || fd == STDERR_FILENO) {
    return should_fail(CALL_LOG) ? -1 : ORIGINAL(write)(fd, buffer, size);
  }
  struct stat status;
  int is_file = fstat(fd, &status) == 0 && S_ISREG(status.st_mode);
  return is_file && should_fail(CALL_WRITE_FILE) ? -1 : ORIGINAL(write)(fd, buffer, size);
}

int poll(struct pollfd *fds, nfds_t count, int timeout) {
  return should_fail(CALL_POLL) ? -1 : ORIGINAL(poll)(fds, count, timeout);
}

int epoll_wait(int fd, struct epoll_event *events, int max_events, int timeout) {
  return should_fail(CALL_EPOLL) ? -1 : ORIGINAL(epoll_wait)(fd, events, max_events, timeout);
}

/* Only opening for writing fails. */
static int open_should_fail(int flags) { return (flags & O_ACCMODE) != O_RDONLY && should_fail(CALL_OPEN); }

int open(const char *path, int flags, ...) {
  va_list arguments;
  va_start(arguments, flags);
  mode_t mode = va_arg(arguments, mode_t);
  va_end(arguments);
  return open_should_fail(flags) ? -1 : ORIGINAL(open)(path, flags, mode);
}

int open64(const char *path, int flags, ...) {
  va_list arguments;
  va_start(arguments, flags);
  mode_t mode = va_arg(arguments, mode_t);
  va_end(arguments);
  return open_should_fail(flags) ? -1 : ORIGINAL(open64)(path, flags, mode);
}

int fsync(int fd) { return should_fail(CALL_FSYNC) ? -1 : ORIGINAL(fsync)(fd); }

int fdatasync(int fd) { return should_fail(CALL_FSYNC) ? -1 : ORIGINAL(fdatasync)(fd); }

int rename(const char *old_path, const char *new_path) {
  return should_fail(CALL_RENAME) ? -1 : ORIGINAL(rename)(old_path, new_path);
}

int clock_gettime(clockid_t clock, struct timespec *time) {
  int result = ORIGINAL(clock_gettime)(clock, time);
  if (page == NULL || result != 0) return result;
  if (clock == CLOCK_REALTIME && page->wall_step_ns != 0) {
    int64_t ns = (int64_t)time->tv_sec * 1000000000 + time->tv_nsec + page->wall_step_ns;
    time->tv_sec = ns / 1000000000;
    time->tv_nsec = ns % 1000000000;
  }
  if (page->pause_ms > 0 && (int32_t)random_per_mille() < page->pause_per_mille) {
    struct timespec pause_time = {page->pause_ms / 1000, (page->pause_ms % 1000) * 1000000L};
    nanosleep(&pause_time, NULL);
  }
  return result;
}
