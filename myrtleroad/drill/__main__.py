"""The simulator's wire on standard input and output: one reply for each batch, exit 0 at the end."""

import sys
from typing import TextIO

from myrtleroad.drill import codec, host


def serve(source: TextIO, sink: TextIO) -> None:
    fleet = host.Host()
    head, events = None, []
    for line in source:
        if not line.strip():
            continue
        message = codec.parse(line)
        cmd = message["cmd"]
        if cmd == "BATCH":
            if head is not None:
                raise codec.WireFault("a batch without its end")
            head, events = message, []
        elif head is None:
            raise codec.WireFault(f"{cmd!r} outside a batch")
        elif cmd == "EOB":
            reply = fleet.batch(codec.ns_to_ms(head["t"]), events)
            reply.append({"cmd": "EOR", "seq": head["seq"]})
            sink.write("".join(codec.dump(m) + "\n" for m in reply))
            sink.flush()
            head = None
        else:
            events.append(message)
    if head is not None:
        raise codec.WireFault("input ended inside a batch")


if __name__ == "__main__":
    try:
        serve(sys.stdin, sys.stdout)
    except codec.WireFault as fault:
        print(f"myrtleroad.drill: {fault}", file=sys.stderr)
        sys.exit(2)
