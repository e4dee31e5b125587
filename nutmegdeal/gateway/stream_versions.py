"""The software versions of streams: of those begun here, and of those taken up."""

import enum

import attrs
import gevent

from nutmegdeal.errors import Failure
from nutmegdeal.gateway.stream_rows import record_mark_row
from nutmegdeal.log import get_logger
from nutmegdeal.platform import rows as platform_rows

logger = get_logger(__name__)

# Timeout of the read of a stream's row: a caller waits for it.
READ_TIMEOUT_MS = 400.0
# Pause before the row is read once more: gateways write several rows at a time.
READ_AGAIN_MS = 200.0


class VersionSource(enum.Enum):
    """How the version of a stream was found.

    ``OWN``: this gateway began the stream.
    ``SOLE``: no other version can have begun it.
    ``ROW``: the store has a row for the stream.
    """

    OWN = "own"
    SOLE = "sole"
    ROW = "row"


@attrs.frozen
class FoundVersion:
    """The software version that began a stream.

    Parameters
    ----------
    version : str
    source : VersionSource
    age_ms : float or None
        Time since the first event, if it is known.
    """

    version: str
    source: VersionSource
    age_ms: float | None = None


class StreamVersions:
    """Records and finds the versions of streams for one gateway.

    Parameters
    ----------
    store : StoreClient
    board : Blackboard
    keeper : StreamRowKeeper
    telemetry : GatewayTelemetry
    """

    def __init__(self, store, board, keeper, telemetry):
        self._store = store
        self._board = board
        self._keeper = keeper
        self._telemetry = telemetry

    def record_begun(self, request):
        """Record the first event of a stream, whose version the request has."""
        now_ms = self._board.clock.monotonic_ms()
        if request.has_events:
            self._telemetry.record_resumed(request)
            return
        if not request.route.is_resumable:
            return
        service = request.service.name
        self._board.streams.record_begun(
            request.request_id, service, request.software_version, now_ms
        )
        self._keeper.handle_begun(service, now_ms)

    def record_ended(self, request, is_completed):
        """Record the end of a request, after which nobody takes its stream up."""
        if is_completed:
            self._board.streams.record_completed(request.request_id)

    def find_version(self, request):
        """Find the version at which a stream may go on, and set it in the request.

        Parameters
        ----------
        request : Request
            Of a caller that has events of the stream.

        Returns
        -------
        bool
            False if the version is not known.
        """
        found = self._find(request.resumes_id, request.service.name)
        self._telemetry.record_taken_up(request, found)
        if found is not None:
            request.software_version = found.version
        return found is not None

    def _find(self, resumes_id, service):
        """Find the version that began a stream.

        Parameters
        ----------
        resumes_id : str
            Id of the attempt that brought the first event, ``""`` if it is not named.
        service : str

        Returns
        -------
        FoundVersion or None
            None if it is not known.
        """
        board = self._board
        own = board.streams.find(resumes_id, service)
        if own is not None:
            age_ms = board.clock.monotonic_ms() - own.begun_ms
            return FoundVersion(own.version, VersionSource.OWN, age_ms)
        board.record_suspended()
        if board.software_versions.lacks_mark(board.clock.monotonic_ms()):
            self._read_mark()
        sole = board.software_versions.sole_version(service, board.clock.monotonic_ms())
        if sole is not None:
            return FoundVersion(sole, VersionSource.SOLE)
        return self._read_version(resumes_id, service) if resumes_id else None

    def _read_mark(self):
        """Read the mark of software versions, after a time without reads."""
        key = platform_rows.VERSIONS_MARK_KEY
        sent_ms = self._board.clock.boot_ms()
        answer = self._store.read_first_row(
            platform_rows.PARTS_TABLE, key, READ_TIMEOUT_MS
        )
        if isinstance(answer, Failure):
            logger.warning("stream_rows_unread", failure=str(answer))
            return
        if answer.rows and answer.rows[0].key == key:
            record_mark_row(self._board, answer.rows[0])
        made_ms = self._board.find_made_ms(sent_ms, answer.store_ms)
        # If the host was suspended during the call.
        self._board.record_suspended()
        self._board.software_versions.record_mark_read(made_ms)

    def _read_version(self, resumes_id, service):
        """Read the row of a stream, once more if it may still be on its way."""
        key = platform_rows.encode_stream_key(resumes_id)
        for pause_ms in (READ_AGAIN_MS, 0.0):
            answer = self._store.read_first_row(
                platform_rows.STREAMS_TABLE, key, READ_TIMEOUT_MS
            )
            if isinstance(answer, Failure):
                logger.warning("stream_rows_unread", failure=str(answer))
                return None
            if answer.rows and answer.rows[0].key == key:
                return _decode_version(answer.rows[0], service, answer.store_ms)
            gevent.sleep(pause_ms / 1000)
        return None


def _decode_version(row, service, store_ms):
    """Return the FoundVersion in a row, None if it is of another service."""
    try:
        stream = platform_rows.decode_stream_row(row.value)
    except platform_rows.DECODE_ERRORS as error:
        logger.warning("row_malformed", key=row.key, error=repr(error))
        return None
    if stream.service != service:
        return None
    age_ms = store_ms - stream.begun_ms
    return FoundVersion(stream.version, VersionSource.ROW, age_ms)
