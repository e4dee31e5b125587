"""Answers without end, sent by stand-ins until the client closes the connection."""

import abc
from http import HTTPStatus

PIECE_BYTES = 1_024
_FILLER = b"x" * PIECE_BYTES
# Line of each event of EndlessEvents.
ENDLESS_EVENT_TEXT = b"data: endless"


def encode_head(headers, status_code=200):
    """Return the bytes of the head of an answer."""
    phrase = HTTPStatus(status_code).phrase.encode()
    lines = [b"HTTP/1.1 %d %s" % (status_code, phrase)]
    lines += [b"%s: %s" % header for header in headers]
    return b"\r\n".join(lines) + b"\r\n\r\n"


def _encode_chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


def _encode_chunked_head(headers):
    return encode_head([*headers, (b"transfer-encoding", b"chunked")])


class EndlessAnswer(abc.ABC):
    """Bytes of an answer without end."""

    @abc.abstractmethod
    def encode_start(self, headers):
        """Return the first bytes (bytes).

        Parameters
        ----------
        headers : list of (bytes, bytes)
            Headers of the server's usual answer to the request.
        """

    @abc.abstractmethod
    def encode_piece(self, number):
        """Return the next bytes (bytes), the first having the number 0."""


class InterimHeads(EndlessAnswer):
    """Interim (1xx) heads without end."""

    def encode_start(self, headers):
        """Return no bytes."""
        return b""

    def encode_piece(self, number):
        """Return an interim head."""
        return b"HTTP/1.1 103 Early Hints\r\nx-number: %d\r\n\r\n" % number


class EndlessHead(EndlessAnswer):
    """A head without end."""

    def encode_start(self, headers):
        """Return the head without its last line."""
        return encode_head(headers)[:-2]

    def encode_piece(self, number):
        """Return one more header."""
        return b"x-filler-%d: %s\r\n" % (number, _FILLER)


class OtherAnswers(EndlessAnswer):
    """Whole answers to other requests, without end."""

    def encode_start(self, headers):
        """Return no bytes."""
        return b""

    def encode_piece(self, number):
        """Return an answer to a request that nobody sent."""
        headers = [
            (b"x-request-id", b"other-%d" % number),
            (b"x-response-signature", b"s"),
            (b"content-length", b"5"),
        ]
        return encode_head(headers) + b"other"


class EndlessBody(EndlessAnswer):
    """A body without end, which as a stream never completes an event."""

    def encode_start(self, headers):
        """Return the head."""
        return _encode_chunked_head(headers)

    def encode_piece(self, number):
        """Return a chunk of one long line."""
        return _encode_chunk(_FILLER)


class EndlessEvents(EndlessAnswer):
    """Events with increasing ids, without end."""

    def encode_start(self, headers):
        """Return the head."""
        return _encode_chunked_head(headers)

    def encode_piece(self, number):
        """Return the next event."""
        return _encode_chunk(b"id: %d\n%s\n\n" % (number, ENDLESS_EVENT_TEXT))


ENDLESS_ANSWERS = (
    InterimHeads(),
    EndlessHead(),
    OtherAnswers(),
    EndlessBody(),
    EndlessEvents(),
)
