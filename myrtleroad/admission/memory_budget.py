"""Divides the memory that is left under a front's limit among all that its peers can make it hold: client
connections, requests, attempts with their responses, and server lists.

Each part has a limit of its own, so that a crowd of one kind takes nothing from the others. Sizes are in
bytes. Does no I/O."""

from dataclasses import dataclass

from myrtleroad.admission.request_memory import RequestMemory
from myrtleroad.admission.response_memory import ResponseMemory

KIB, MIB = 1024, 1024 * 1024
PROGRAM_BYTES = 24 * MIB  # of a front before its first client, until that is measured
# For what is not counted: samples and statistics, the log, garbage, memory that the allocator cannot reuse.
RESERVE_BYTES, RESERVE_SHARE = 3 * MIB // 2, 1 / 32  # the latter of the limit
MIN_POOL_BYTES = 1 * MIB  # to go on with where the limit leaves less
CONNECTION_BYTES = 10 * KIB  # of a client connection with its greenlet and a short request
ATTEMPT_BYTES = 20 * KIB  # of an attempt with its greenlet, connection and a short response
SERVER_BYTES = 3 * KIB  # of a listed server
LISTED_BYTES_FACTOR = 8  # memory in which a list is decoded, over the length of its text
MIN_SERVERS = 1024  # that a front holds whatever its limit
MAX_SERVERS = 4096  # more than a list of the largest size names
MIN_LIST_BYTES, MAX_LIST_BYTES = 700 * KIB, 1024 * KIB  # of one list: 1,024 servers with the longest names
CONNECTIONS_SHARE, ATTEMPTS_SHARE = 0.4, 0.25  # of the pool, at most
REQUESTS_SHARE, RESPONSES_SHARE, LISTS_SHARE = 0.4, 0.4, 0.2  # of what those two leave
PRESSURE_MARGIN_SHARE = 1 / 32  # of the limit: with less left, the pool is reduced
MAX_REDUCTION_SHARE = 0.75  # of the pool: memory that was freed but not returned to the system is used again
RECOVERY_SHARE = 0.05  # of the pool that each measurement without pressure gives back


@dataclass(slots=True)
class MemoryLimits:
    """The limits of one division of the pool."""

    connections: int
    attempts: int
    request_bytes: int
    response_bytes: int
    servers: int
    list_bytes: int


class MemoryBudget:
    """The budget of one front. ``max_clients`` and ``max_attempts`` are what its descriptors allow."""

    def __init__(self, limit_bytes: int, max_clients: int, max_attempts: int):
        self.limit_bytes, self.max_clients, self.max_attempts = limit_bytes, max_clients, max_attempts
        self.program_bytes, self.program_servers = PROGRAM_BYTES, 0
        self.servers = 0
        self.reduction_bytes = 0  # of the pool, while the measured memory is near the limit
        self.requests, self.responses = RequestMemory(0), ResponseMemory(0)
        self.divide()

    @property
    def left_bytes(self) -> int:
        """What the limit leaves beside the program and the reserve; negative if it is too low."""
        reserve_bytes = RESERVE_BYTES + int(RESERVE_SHARE * self.limit_bytes)
        return self.limit_bytes - self.program_bytes - reserve_bytes

    @property
    def pool_bytes(self) -> int:
        """What all peers together can make the front hold, beside the servers listed."""
        new_servers = max(0, self.servers - self.program_servers)
        return max(MIN_POOL_BYTES, self.left_bytes - SERVER_BYTES * new_servers)

    @property
    def max_servers(self) -> int:
        """How many servers may be listed: as many as take half of what is left."""
        more_servers = max(0, self.left_bytes) // 2 // SERVER_BYTES
        return min(MAX_SERVERS, max(MIN_SERVERS, self.program_servers + more_servers))

    @property
    def is_short(self) -> bool:
        """Whether the limit leaves less than the smallest pool."""
        return self.pool_bytes == MIN_POOL_BYTES

    @property
    def counted_bytes(self) -> int:
        """The memory of requests and responses that is counted now."""
        return self.requests.total_bytes + self.responses.total_bytes

    def set_program(self, resident_bytes: int, servers: int) -> None:
        """Records what the front takes before its first client, with so many servers listed."""
        self.program_bytes, self.program_servers, self.servers = resident_bytes, servers, servers
        self.divide()

    def set_servers(self, servers: int) -> None:
        """Records how many servers are listed."""
        self.servers = servers
        self.divide()

    def measured(self, resident_bytes: int) -> bool:
        """Records the front's memory as the system counts it. Reduces the pool while that is near the limit,
        and gives it back by and by; returns whether it is near."""
        excess_bytes = resident_bytes - int((1 - PRESSURE_MARGIN_SHARE) * self.limit_bytes)
        if excess_bytes > 0:
            most_bytes = int(MAX_REDUCTION_SHARE * self.pool_bytes)
            self.reduction_bytes = min(most_bytes, self.reduction_bytes + excess_bytes)
        elif self.reduction_bytes:
            recovered_bytes = int(RECOVERY_SHARE * self.pool_bytes) + 1
            self.reduction_bytes = max(0, self.reduction_bytes - recovered_bytes)
        self.divide()
        return excess_bytes > 0

    def divide(self) -> None:
        """Divides the pool anew."""
        pool_bytes = self.pool_bytes - self.reduction_bytes
        connections = min(self.max_clients, int(CONNECTIONS_SHARE * pool_bytes) // CONNECTION_BYTES)
        attempts = min(self.max_attempts, int(ATTEMPTS_SHARE * pool_bytes) // ATTEMPT_BYTES)
        rest_bytes = pool_bytes - connections * CONNECTION_BYTES - attempts * ATTEMPT_BYTES
        list_bytes = int(LISTS_SHARE * rest_bytes) // LISTED_BYTES_FACTOR
        self.limits = MemoryLimits(
            max(1, connections),
            max(1, attempts),
            int(REQUESTS_SHARE * rest_bytes),
            int(RESPONSES_SHARE * rest_bytes),
            self.max_servers,
            min(MAX_LIST_BYTES, max(MIN_LIST_BYTES, list_bytes)),
        )
        self.requests.limit_bytes = self.limits.request_bytes
        self.responses.limit_bytes = self.limits.response_bytes
