"""Messages as lines of text, between a test and its `stream_client`."""

import base64

from nutmegdeal.messages import decode_batch, encode_message, join_batch


def encode_line(message):
    """Return a message as a line of text."""
    data = join_batch([encode_message(message)])
    return base64.b64encode(data) + b"\n"


def decode_line(line):
    """Return the message in a line of text."""
    return decode_batch(base64.b64decode(line))[0]
