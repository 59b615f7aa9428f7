"""What a front is told in a file of our own, beside the platform's configuration: a KDL document."""

from pathlib import Path

from myrtleroad.config.document import read_document
from myrtleroad.config.schema import FRONT_FILE_SCHEMA, SchemaCheck
from myrtleroad.net.node_config import Address, ConfigError, parse_address


def control_address(file: str) -> Address | None:
    """The control service that the file names, None where it names none. Raises Unclear, one line a fault."""
    try:
        nodes, faults = read_document(Path(file).read_bytes())
    except OSError as error:
        raise ConfigError(f"{file}: {error}") from None
    check = SchemaCheck(nodes, FRONT_FILE_SCHEMA)
    for _ in check.check_in_slices():
        pass
    if faults := faults + check.faults:
        raise ConfigError("\n".join(f.describe(file) for f in faults))
    for root in check.roots:
        try:
            return parse_address(str(root.arg))
        except ValueError as error:
            raise ConfigError(f"{file}:{root.node.line}:{root.node.column}: {error}") from None
    return None
