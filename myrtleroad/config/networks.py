"""Which client addresses are admitted: the longest prefix that holds an address decides."""

from collections.abc import Iterable, Iterator
from ipaddress import ip_address, ip_network

import radix


class Networks:
    """A set of prefixes (IPv4 and IPv6), made once a version, in slices where it is large, and only read
    afterwards."""

    __slots__ = ("default", "tree")

    def __init__(self, prefixes: Iterable[tuple[str, bool]] = (), default: bool = True):
        for _ in self.build_in_slices(prefixes, default):
            pass

    def build_in_slices(
        self, prefixes: Iterable[tuple[str, bool]], default: bool, step: int = 128
    ) -> Iterator[None]:
        self.default, self.tree = default, radix.Radix()
        for n, (prefix, admitted) in enumerate(prefixes, 1):
            self.tree.add(prefix).data["admits"] = admitted
            if n % step == 0:
                yield

    def admits(self, address: str) -> bool:
        """Raises ValueError where it is no address."""
        node = self.tree.search_best(address)
        return self.default if node is None else node.data["admits"]

    def matching_prefix(self, address: str) -> str | None:
        """The longest prefix that holds an address, as it was given."""
        node = self.tree.search_best(address)
        return None if node is None else node.prefix


class LinearNetworks:
    """The same by a list that is gone through: what ``Networks`` is measured and checked against."""

    def __init__(self, prefixes: Iterable[tuple[str, bool]], default: bool = True):
        nets = [(ip_network(p), admitted) for p, admitted in prefixes]
        self.networks = sorted(nets, key=lambda n: -n[0].prefixlen)
        self.default = default

    def admits(self, address: str) -> bool:
        ip = ip_address(address)
        return next((a for n, a in self.networks if n.version == ip.version and ip in n), self.default)
