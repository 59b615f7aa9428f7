"""Settings of a front in a KDL file of this project, in addition to the platform's configuration."""

from pathlib import Path

from myrtleroad.config.document import read_document
from myrtleroad.config.schema import FRONT_FILE_SCHEMA, SchemaCheck
from myrtleroad.net.node_config import Address, ConfigError, parse_address


def control_address(file: str) -> Address | None:
    """The address of the control service in the file, None without one. Raises ConfigError with one line per
    error."""
    try:
        nodes, faults = read_document(Path(file).read_bytes())
    except OSError as error:
        raise ConfigError(f"{file}: {error}") from None
    check = SchemaCheck(nodes, FRONT_FILE_SCHEMA)
    for _ in check.check_in_slices():
        pass
    if faults := faults + check.faults:
        raise ConfigError("\n".join(fault.describe(file) for fault in faults))
    for root in check.roots:
        try:
            return parse_address(str(root.arg))
        except ValueError as error:
            raise ConfigError(f"{file}:{root.node.line}:{root.node.column}: {error}") from None
    return None
