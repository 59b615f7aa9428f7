"""Entry point of the program. Signals are blocked before anything slow is imported, and a front is started
without the library of the command line."""

import sys

from myrtleroad.startup import SERVE_COMMAND, block_signals

if __name__ == "__main__":
    block_signals(sys.argv)

    if sys.argv[1:] == [SERVE_COMMAND]:
        from myrtleroad.serve import serve

        serve()
    else:
        from myrtleroad.cli import main

        main(prog_name="python -m myrtleroad")
