"""Operators' calls: lines of JSON on a Unix socket in the folder, one call and one answer a connection."""

import os
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import orjson
from gevent import socket
from gevent.queue import SimpleQueue

from myrtleroad.config.scanner import MAX_DOCUMENT_BYTES

CALL_SOCKET = "control.sock"
CALL_TIMEOUT_S = 10.0  # of an operator's command
READ_TIMEOUT_S = 5.0  # of the service, for the next part of a call
READ_BYTES = 1 << 16
MAX_CALL_BYTES = 3 * MAX_DOCUMENT_BYTES  # a document as JSON with escapes


@dataclass(slots=True, frozen=True)
class OperatorCall:
    """A call of an operator; ``reply`` is called with the answer."""

    fields: dict[str, Any]
    reply: Callable[[dict[str, Any]], None]


class CallRefused(Exception):
    """An operator's call was refused; the text is sent as the answer."""


class NoAnswer(Exception):
    """A call was sent and not answered, so it may have been carried out or not."""


def open_call_socket(folder: Path) -> socket.socket:
    """A socket that listens for calls in this folder. Raises OSError."""
    path = folder / CALL_SOCKET
    path.unlink(missing_ok=True)
    calls = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    calls.bind(str(path))
    os.chmod(path, 0o600)
    calls.listen(8)
    return calls


def serve_call(sock: socket.socket, post: Callable[[OperatorCall], None]) -> None:
    """Reads one call, posts it and sends its answer."""
    text, replies = b"", SimpleQueue()
    try:
        sock.settimeout(READ_TIMEOUT_S)
        while not text.endswith(b"\n") and len(text) < MAX_CALL_BYTES:
            data = sock.recv(READ_BYTES)
            if not data:
                return
            text += data
        try:
            fields = orjson.loads(text)
            if not isinstance(fields, dict):
                raise ValueError("not an object")
        except ValueError as error:
            sock.sendall(orjson.dumps({"ok": False, "why": f"not valid JSON: {error}"}) + b"\n")
            return
        post(OperatorCall(fields, replies.put))
        sock.sendall(orjson.dumps(replies.get()) + b"\n")
    except OSError:
        pass  # the operator has disconnected
    finally:
        sock.close()


def call_service(folder: Path, **fields: Any) -> dict[str, Any]:
    """Sends an operator's call to the service of this folder and returns the answer. Raises OSError if
    none is running, so that nothing was done, and NoAnswer if the call was sent and not answered."""
    with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as sock:
        sock.settimeout(CALL_TIMEOUT_S)
        sock.connect(str(folder / CALL_SOCKET))
        text = b""
        try:
            sock.sendall(orjson.dumps(fields) + b"\n")
            while data := sock.recv(READ_BYTES):
                text += data
            return orjson.loads(text)
        except (OSError, ValueError) as error:
            raise NoAnswer(
                "the control service did not answer; the call may have been carried out: look at its status, "
                f"and repeat the call if it was not ({type(error).__name__}: {error})"
            ) from None
