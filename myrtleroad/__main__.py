"""Entry point of the program. Signals are blocked before anything slow is imported."""

import sys

from myrtleroad.startup import block_signals

if __name__ == "__main__":
    block_signals(sys.argv)

    from myrtleroad.cli import main

    main(prog_name="python -m myrtleroad")
