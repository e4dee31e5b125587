"""Receives batches from streams of clients, within bounds on their bytes.

grpclib collects a message of any length that its prefix states, and takes it from the
flow control of HTTP/2 as it does so.
"""

import struct

from nutmegdeal.buffering.answers import AnswerBound

PREFIX = struct.Struct(">?I")
PART_BYTES = 65_536
# Most bytes of one batch; an outbox has 8 MB by default.
BATCH_BYTES_MAX = 16_777_216
# Most bytes of all batches that have not arrived completely, beside small ones.
ALL_BATCHES_BYTES_MAX = 16_777_216
SMALL_BATCH_BYTES = 65_536


class BatchTooLargeError(Exception):
    """The batch is too large, or the process cannot hold it beside the others."""


class BatchReceiver:
    """Receives the batches of all streams that one server has accepted."""

    def __init__(self):
        self._bound = AnswerBound(ALL_BATCHES_BYTES_MAX, SMALL_BATCH_BYTES)

    async def receive(self, stream):
        """Return the next batch (bytes) of a stream, None at its end.

        Parameters
        ----------
        stream : grpclib.server.Stream

        Raises
        ------
        BatchTooLargeError
        """
        # `recv_message` of the stream has no limit.
        raw = stream._stream
        prefix = await raw.recv_data(PREFIX.size)
        if not prefix:
            return None
        is_compressed, remaining_bytes = PREFIX.unpack(prefix)
        if is_compressed or remaining_bytes > BATCH_BYTES_MAX:
            raise BatchTooLargeError(f"a batch of {remaining_bytes} bytes")
        held, parts = self._bound.open_answer(), []
        while remaining_bytes:
            part = await raw.recv_data(min(remaining_bytes, PART_BYTES))
            if not held.grow(len(part)):
                raise BatchTooLargeError("too many bytes of batches are held")
            parts.append(part)
            remaining_bytes -= len(part)
        return b"".join(parts)
