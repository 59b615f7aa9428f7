"""Decides which client addresses are admitted: the longest prefix that contains an address decides."""

from collections.abc import Iterable, Iterator
from ipaddress import ip_address, ip_network

import radix


class Networks:
    """A set of IPv4 and IPv6 prefixes. Built once for each version, in slices if it is large, and only
    read afterwards."""

    __slots__ = ("default", "tree")

    def __init__(self, prefixes: Iterable[tuple[str, bool]] = (), default: bool = True):
        for _ in self.build_in_slices(prefixes, default):
            pass

    def build_in_slices(
        self, prefixes: Iterable[tuple[str, bool]], default: bool, prefixes_per_slice: int = 128
    ) -> Iterator[None]:
        """Builds the set; yields after every ``prefixes_per_slice`` prefixes."""
        self.default, self.tree = default, radix.Radix()
        for count, (prefix, admitted) in enumerate(prefixes, 1):
            self.tree.add(prefix).data["admits"] = admitted
            if count % prefixes_per_slice == 0:
                yield

    def admits(self, address: str) -> bool:
        """Whether a client address is admitted. Raises ValueError if it is not an address."""
        node = self.tree.search_best(address)
        return self.default if node is None else node.data["admits"]

    def matching_prefix(self, address: str) -> str | None:
        """The longest prefix that contains an address, as it was given."""
        node = self.tree.search_best(address)
        return None if node is None else node.prefix


class LinearNetworks:
    """The same by a linear search: the reference that ``Networks`` is tested and measured against."""

    def __init__(self, prefixes: Iterable[tuple[str, bool]], default: bool = True):
        networks = [(ip_network(prefix), admitted) for prefix, admitted in prefixes]
        self.networks = sorted(networks, key=lambda network: -network[0].prefixlen)
        self.default = default

    def admits(self, address: str) -> bool:
        """Whether a client address is admitted. Raises ValueError if it is not an address."""
        parsed = ip_address(address)
        return next(
            (
                admitted
                for network, admitted in self.networks
                if network.version == parsed.version and parsed in network
            ),
            self.default,
        )
