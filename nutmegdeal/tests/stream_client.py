"""A program for tests: one stream to an agent, as lines of base64 on standard I/O.

It runs in a separate process, since gevent's monkey patches are incompatible with
pytest's workers.
"""

import nutmegdeal.tools  # noqa: F401  isort: skip

import os
import sys

import gevent
from gevent.fileobject import FileObjectThread

from nutmegdeal.addresses import Address
from nutmegdeal.bridges import GreenletBridge
from nutmegdeal.channel import ChannelClient
from nutmegdeal.errors import Failure
from nutmegdeal.settings import ChannelSettings
from nutmegdeal.tests.stream_lines import decode_line, encode_line

CONNECT_WITHIN_MS = 20_000


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
