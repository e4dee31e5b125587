"""A program for tests: one stream to an agent, as lines of base64 on standard I/O.

It runs in a process of its own, since gevent's patches and pytest's workers don't go
together.
"""

import nutmegdeal.tools  # noqa: F401  isort: skip

import base64
import os
import sys

import gevent
from gevent.fileobject import FileObjectThread

from nutmegdeal.channel import Address, ChannelClient, GreenletBridge
from nutmegdeal.errors import Failure
from nutmegdeal.messages import decode_batch, encode_message, join_batch
from nutmegdeal.settings import ChannelSettings

CONNECT_WITHIN_MS = 20_000


def encode_line(message):
    """Return a message as a line of text."""
    data = join_batch([encode_message(message)])
    return base64.b64encode(data) + b"\n"


def decode_line(line):
    """Return the message in a line of text."""
    return decode_batch(base64.b64decode(line))[0]


def _print_messages(session):
    for message in session.messages():
        os.write(sys.stdout.fileno(), encode_line(message))


def main(host, port, secret):
    """Pass messages on until standard input ends."""
    client = ChannelClient(GreenletBridge(), ChannelSettings(shared_secret=secret))
    session = client.connect(Address(host, int(port)), CONNECT_WITHIN_MS)
    if isinstance(session, Failure):
        sys.exit(str(session))
    gevent.spawn(_print_messages, session)
    for line in FileObjectThread(sys.stdin.buffer):
        session.send(decode_line(line))
    session.close()


if __name__ == "__main__":
    main(*sys.argv[1:])
