"""The program's entry: signals wait before anything slow is loaded."""

import sys

from myrtleroad.startup import hold_signals

if __name__ == "__main__":
    hold_signals(sys.argv)

    from myrtleroad.cli import main

    main(prog_name="python -m myrtleroad")
