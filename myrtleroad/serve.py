"""Runs one front in the foreground. Kept apart from the command line, whose library takes memory that a front
does not need."""

import sys


def serve(front_file: str | None = None) -> None:
    """Runs a front, configured by NODE_CONFIG and a second file, if given, until SIGTERM. Ends the process
    with one line and exit code 1 if the configuration cannot be read or the address is in use."""
    from myrtleroad.net import front, node_config

    try:
        program = front.Front(node_config.read_node_config(), front_file=front_file, owns_process=True)
    except node_config.ConfigError as error:
        sys.exit(f"myrtleroad: {error}")
    except OSError as error:
        sys.exit(f"myrtleroad: cannot listen: {error}")
    program.run()
