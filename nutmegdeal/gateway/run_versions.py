"""The adapter version of each run: chosen as it is sent, observed as it begins."""

import math

import attrs


class VersionExpiredError(Exception):
    """The run has not begun, and its adapter version is out of date."""


@attrs.frozen
class RunVersion:
    """The adapter version that a request is sent for.

    Parameters
    ----------
    number : int or None
        None if the request names no adapter or none of its versions is known; the
        server then runs whichever it holds.
    """

    number: int | None


class RunVersions:
    """Chooses the version of each run, and observes on which one it begins.

    Parameters
    ----------
    board : Blackboard
    telemetry : GatewayTelemetry
    """

    def __init__(self, board, telemetry):
        self._board = board
        self._telemetry = telemetry

    def choose(self, request, member):
        """Return the RunVersion for which a request may be sent to a server now.

        Parameters
        ----------
        request : Request
        member : Member

        Returns
        -------
        RunVersion or None
            None if the server's version has been superseded for too long.
        """
        if not request.adapter:
            return RunVersion(None)
        adapter_key, versions = request.adapter_key, self._board.versions
        # A server that is not known to hold the adapter may hold an old version.
        version = member.resident.get(request.adapter, versions.newest(adapter_key))
        if version is None:
            return RunVersion(None)
        if not versions.allows(adapter_key, version, self._board.clock.boot_ms()):
            return None
        return RunVersion(version)

    def begin_until_ms(self, request, version):
        """Return when a run that has not begun has to be ended (float).

        By what is known now, on the monotonic clock; infinite if its version is the
        newest one.

        Parameters
        ----------
        request : Request
        version : RunVersion
        """
        if version.number is None:
            return math.inf
        clock = self._board.clock
        until_ms = self._board.versions.begin_until_ms(
            request.adapter_key, version.number
        )
        return until_ms + clock.monotonic_ms() - clock.boot_ms()

    def record_begun(self, request, member, version, sent_ms):
        """Record the first event of a run.

        Parameters
        ----------
        request : Request
        member : Member
        version : RunVersion
        sent_ms : float
            When the request was sent, on the monotonic clock.
        """
        adapter_key, number = request.adapter_key, version.number
        newest = self._board.versions.newest(adapter_key)
        if number is None or newest is None or number >= newest:
            return
        clock = self._board.clock
        superseded_ms = self._board.versions.superseded_ms(adapter_key, number)
        self._telemetry.record_older_version(
            request,
            member,
            number,
            newest,
            clock.monotonic_ms() - sent_ms,
            clock.boot_ms() - superseded_ms,
        )
