"""Runs the simulator's line protocol on standard input and output: one reply for each batch of events, exit
code 0 at the end of the input and 2 on a protocol error."""

import sys
from typing import TextIO

from myrtleroad.drill import codec, host


def serve(source: TextIO, sink: TextIO) -> None:
    """Reads batches from ``source`` until it ends and writes the reply to each one to ``sink``.

    Raises ``codec.ProtocolError`` if a line cannot be decoded or the batches are not delimited correctly."""
    front_host = host.Host()
    header, events = None, []
    for line in source:
        if not line.strip():
            continue
        message = codec.parse_message(line)
        cmd = message["cmd"]
        if cmd == "BATCH":
            if header is not None:
                raise codec.ProtocolError("a batch without its end")
            header, events = message, []
        elif header is None:
            raise codec.ProtocolError(f"{cmd!r} outside a batch")
        elif cmd == "EOB":
            reply = front_host.process_batch(codec.ns_to_ms(header["t"]), events)
            reply.append({"cmd": "EOR", "seq": header["seq"]})
            sink.write("".join(codec.encode_message(answer) + "\n" for answer in reply))
            sink.flush()
            header = None
        else:
            events.append(message)
    if header is not None:
        raise codec.ProtocolError("input ended inside a batch")


if __name__ == "__main__":
    try:
        serve(sys.stdin, sys.stdout)
    except codec.ProtocolError as error:
        print(f"myrtleroad.drill: {error}", file=sys.stderr)
        sys.exit(2)
