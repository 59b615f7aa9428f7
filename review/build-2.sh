#!/bin/sh
# Builds what cases 6 to 10 start beside the project: stand-ins in Python, standard library only. Run after the
# build of the deploy file; needs no network.
cd "$(dirname "$0")/.." && .venv/bin/python -m compileall -q review/standins_2 review/6 review/7 review/8
