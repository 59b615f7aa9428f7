"""What a front is told in a file of our own, beside the platform's configuration: a KDL document."""

from pathlib import Path

from myrtleroad.config.document import read
from myrtleroad.config.schema import FRONT, Check
from myrtleroad.net.node_config import Address, ConfigError, parse_address


def control_address(file: str) -> Address | None:
    """The control service that the file names, None where it names none. Raises Unclear, one line a fault."""
    try:
        nodes, faults = read(Path(file).read_bytes())
    except OSError as error:
        raise ConfigError(f"{file}: {error}") from None
    check = Check(nodes, FRONT)
    for _ in check.steps():
        pass
    if faults := faults + check.faults:
        raise ConfigError("\n".join(f.said(file) for f in faults))
    for root in check.roots:
        try:
            return parse_address(str(root.arg))
        except ValueError as error:
            raise ConfigError(f"{file}:{root.node.line}:{root.node.column}: {error}") from None
    return None
