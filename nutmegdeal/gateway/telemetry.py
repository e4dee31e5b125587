"""Log lines and metrics of a gateway's decisions."""

import math

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

from nutmegdeal.balancing.load_estimate import estimate_load
from nutmegdeal.balancing.server_speed import describe_speed
from nutmegdeal.gateway.backend_selection import LoadFirst, SendNow
from nutmegdeal.gateway.shutdown import SHUTDOWN, STOPPING
from nutmegdeal.log import get_logger

logger = get_logger(__name__)

# Upper bounds of the buckets, in s; latency targets are between 0.1 and 1 s.
LATENCY_BUCKETS_S = (0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 1.0, 1.5, 2.5, 5.0, 10.0, 15.0)
WAIT_BUCKETS_S = (0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 5.0)
# The store answers within 4 ms, within 400 ms while it is slow, and keeps a call that
# waits for changes open for a few seconds.
STORE_BUCKETS_S = (0.01, 0.05, 0.25, 0.5, 1.0, 2.0, 4.0)
# Whether another server can take over a silent run.
_REPLACEMENTS = {SendNow: "ready", LoadFirst: "must_load", type(None): "none"}


class GatewayTelemetry:
    """Records the decisions on requests, their runs and how they ended.

    Parameters
    ----------
    registry : prometheus_client.CollectorRegistry, optional
    """

    def __init__(self, registry=None):
        self.registry = registry or CollectorRegistry()
        self._ended = Counter(
            "nutmegdeal_requests",
            "Requests that ended",
            ("kind", "end"),
            registry=self.registry,
        )
        self._refused = Counter(
            "nutmegdeal_refusals",
            "Requests that were refused and have not run",
            ("reason",),
            registry=self.registry,
        )
        self._stopped = Counter(
            "nutmegdeal_shutdown_ends",
            "Requests in progress that the shutdown of the gateway ended",
            ("kind", "end"),
            registry=self.registry,
        )
        self._runs = Counter(
            "nutmegdeal_failed_runs",
            "Runs at backend servers that did not complete",
            ("fate", "verdict"),
            registry=self.registry,
        )
        self._silent = Counter(
            "nutmegdeal_silent_runs",
            "Runs whose server sent nothing for a while",
            ("replacement",),
            registry=self.registry,
        )
        self._overlaps = Counter(
            "nutmegdeal_overlaps_ended",
            "Ends of the time for which a silent run and its replacement may overlap",
            ("kept",),
            registry=self.registry,
        )
        self._resumed = Counter(
            "nutmegdeal_resumed_streams",
            "Streams that callers take up, by how their version was found",
            ("outcome",),
            registry=self.registry,
        )
        self._older_versions = Counter(
            "nutmegdeal_older_version_runs",
            "Runs that began on an older version of their adapter than the newest one",
            registry=self.registry,
        )
        self._stream_rows = Counter(
            "nutmegdeal_stream_rows",
            "Rows of the store that name the versions of streams",
            ("change",),
            registry=self.registry,
        )
        self._first = Histogram(
            "nutmegdeal_first_byte_seconds",
            "From the arrival to the first part of the answer",
            ("kind",),
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self._whole = Histogram(
            "nutmegdeal_whole_seconds",
            "From the arrival to the end",
            ("kind",),
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self._load_wait = Histogram(
            "nutmegdeal_load_wait_seconds",
            "Wait for an adapter",
            buckets=WAIT_BUCKETS_S,
            registry=self.registry,
        )

        self._turn_wait = Histogram(
            "nutmegdeal_turn_wait_seconds",
            "Wait until the engine may read the prompt",
            buckets=WAIT_BUCKETS_S,
            registry=self.registry,
        )
        self._store_calls = Histogram(
            "nutmegdeal_store_call_seconds",
            "Calls to the store, with the time that they wait for changes",
            ("table", "outcome"),
            buckets=STORE_BUCKETS_S,
            registry=self.registry,
        )
        self._era_changes = Counter(
            "nutmegdeal_store_era_changes",
            "Returns of the store from a copy",
            ("table",),
            registry=self.registry,
        )
        self._leaving = Counter(
            "nutmegdeal_backends_leaving",
            "Backend servers that became known to leave",
            ("source",),
            registry=self.registry,
        )
        self._crashes = Counter(
            "nutmegdeal_engine_crashes",
            "Backend servers that ended under a run that had not delivered",
            registry=self.registry,
        )
        self._parts = Counter(
            "nutmegdeal_prompt_parts",
            "Changes of what is known of prompt parts",
            ("change",),
            registry=self.registry,
        )
        self._paused = Counter(
            "nutmegdeal_backends_paused",
            "Backend servers that asked for a pause",
            registry=self.registry,
        )

        self._limited = Gauge(
            "nutmegdeal_backends_limited",
            "Backend servers that limit the requests a second that they take",
            registry=self.registry,
        )
        self._withheld = Counter(
            "nutmegdeal_withheld_requests",
            "Requests for which a backend server was passed over due to its limit",
            registry=self.registry,
        )

    def record_leaving(self, member, source):
        """Record that a backend server is known to leave."""
        self._leaving.labels(source.value).inc()
        logger.info(
            "backend_leaving",
            backend=member.backend_id,
            service=member.backend.service,
            source=source.value,
        )

    def record_paused(self, member, pause_ms):
        """Record that a backend server asked for a pause."""
        self._paused.inc()
        logger.info(
            "backend_paused",
            backend=member.backend_id,
            service=member.backend.service,
            pause_ms=round(pause_ms, 1),
        )

    def record_withheld(self):
        """Record a request for which a server with a limit was passed over."""
        self._withheld.inc()

    def record_limited(self, member, source, limited_count, now_ms):
        """Record that the limit of a backend server has changed.

        Parameters
        ----------
        member : Member
        source : LimitSource
        limited_count : int
            Servers that name a limit now.
        now_ms : float
        """
        self._limited.set(limited_count)
        logger.info(
            "backend_limit",
            backend=member.backend_id,
            service=member.backend.service,
            limit_per_s=member.availability.limit_per_s,
            source=source.value,
            age_ms=round(now_ms - member.availability.limit_stated_ms, 1),
        )

    def record_unusable_limit(self, member):
        """Record that a backend server has named a limit that is no number."""
        logger.warning(
            "backend_limit_unusable",
            backend=member.backend_id,
            service=member.backend.service,
        )

    def record_era_change(self, table, previous, position):
        """Record that the store has returned from a copy.

        Parameters
        ----------
        table : str
        previous, position : StorePosition
            Last known position, and that of the first read of the new era.
        """
        self._era_changes.labels(table).inc()
        logger.warning(
            "store_era_changed",
            table=table,
            era=position.era,
            version=position.version,
            previous_era=previous.era,
            previous_version=previous.version,
        )

    def record_crash(self, crash):
        """Record the crash of a server, and the parts and requests that are suspected.

        Parameters
        ----------
        crash : Crash
        """
        self._crashes.inc()
        logger.warning(
            "engine_crashed",
            engine=crash.crash_id,
            parts=sorted({part for parts in crash.prompts for part in parts}),
        )

    def record_part(self, change, record):
        """Record a change of what is known of a prompt part.

        Parameters
        ----------
        change : str
            ``suspected``, ``refused``, ``probed`` or ``removed``.
        record : SuspectRecord
        """
        self._parts.labels(change).inc()
        logger.warning(
            "prompt_part",
            change=change,
            part=record.suspect_id,
            crashes=list(record.crashes),
            refused_until_ms=round(record.refused_until_ms),
        )

    def record_store_call(self, table, outcome, taken_ms):
        """Record the duration of a call to the store."""
        self._store_calls.labels(table, outcome).observe(taken_ms / 1000)

    def record_taken_up(self, request, found):
        """Record a caller that takes a stream up.

        Parameters
        ----------
        request : Request
        found : FoundVersion or None
            None if the version that began the stream is not known.
        """
        if found is None:
            self._resumed.labels("unknown").inc()
            logger.warning(
                "stream_version_unknown",
                request=request.request_id,
                resumes=request.resumes_id,
            )
            return
        self._resumed.labels(found.source.value).inc()
        age_ms = found.age_ms
        logger.info(
            "stream_taken_up",
            request=request.request_id,
            resumes=request.resumes_id,
            software=found.version,
            source=found.source.value,
            age_ms=round(age_ms, 1) if age_ms is not None else None,
        )

    def record_resumed(self, request):
        """Record that a stream that was taken up goes on."""
        self._resumed.labels("went_on").inc()

    def record_stream_rows(self, written_count, removed_count):
        """Record a write of rows that name the versions of streams."""
        self._stream_rows.labels("written").inc(written_count)
        self._stream_rows.labels("removed").inc(removed_count)

    def record_selection(self, request, member, now_ms):
        """Log the selection of a backend server, with the state that it is based on."""
        age_ms = now_ms - member.reported_ms
        logger.info(
            "backend_chosen",
            request=request.request_id,
            backend=member.backend_id,
            service=request.service.name,
            adapter=request.adapter,
            version=member.resident.get(request.adapter),
            software=member.backend.software_version,
            load=round(estimate_load(member, now_ms), 1),
            report_age_ms=_round_finite(age_ms),
            work_time_percent=describe_speed(member.speed, now_ms),
            failure_rate=round(member.history.failure_rate(now_ms), 3),
            is_linked=member.is_linked,
            waited_ms=round(request.waited_ms, 1),
            paced_ms=round(request.paced_ms, 1),
            remaining_ms=round(request.deadline_ms - now_ms, 1),
            configuration=request.configuration_version,
        )

    def record_adapter_version(self, adapter_version, change_age_ms):
        """Record that a version of an adapter has become known.

        Parameters
        ----------
        adapter_version : AdapterVersion
        change_age_ms : float
            Longest time for which the store may have had it.
        """
        logger.info(
            "adapter_version",
            adapter=adapter_version.adapter,
            version=adapter_version.version,
            change_age_ms=_round_finite(change_age_ms),
        )

    def record_older_version(
        self, request, member, version, newest, sent_age_ms, superseded_age_ms
    ):
        """Record a run that began on an older version of its adapter.

        Parameters
        ----------
        request : Request
        member : Member
        version, newest : int
            Version that the server was asked for, and the newest one.
        sent_age_ms : float
            Time since the request was sent.
        superseded_age_ms : float
            Longest time for which the store may have had a newer version.
        """
        self._older_versions.inc()
        logger.info(
            "older_version_begun",
            request=request.request_id,
            backend=member.backend_id,
            adapter=request.adapter,
            version=version,
            newest=newest,
            sent_age_ms=round(sent_age_ms, 1),
            superseded_age_ms=_round_finite(superseded_age_ms),
        )

    def record_refused(self, request_id, incoming, refusal):
        """Record a request that was refused on arrival."""
        self._refused.labels(refusal.reason).inc()
        logger.warning(
            "request_refused",
            request=request_id,
            path=incoming.path.partition("?")[0],
            status=refusal.status_code,
            reason=refusal.reason,
            tenant=_name_tenant(refusal.tenant),
        )

    def record_failed_run(self, request, member, outcome, verdict):
        """Record a run that did not complete, and the decision on a retry."""
        self._runs.labels(outcome.fate.value, verdict.value).inc()
        logger.warning(
            "run_failed",
            request=request.request_id,
            backend=member.backend_id,
            fate=outcome.fate.value,
            detail=outcome.detail,
            verdict=verdict.value,
            sent=request.sent_count,
            runs=request.run_count,
            silent_ms=round(outcome.silent_ms, 1),
            events=outcome.event_count,
            parts=list(request.shared_parts),
            content=request.content_digest,
            broken_off=outcome.is_broken_off,
            local_port=outcome.local_port,
            skipped=outcome.skipped_answer_count,
            failure_rate=round(member.history.failure_rate_at_update, 3),
        )

    def record_silent_run(self, request, member, silent_ms, choice):
        """Record a run whose server sends nothing.

        Parameters
        ----------
        request : Request
        member : Member
        silent_ms : float
        choice : SendNow, LoadFirst or None
            Which other server can take over.
        """
        replacement = _REPLACEMENTS[type(choice)]
        self._silent.labels(replacement).inc()
        logger.info(
            "run_silent",
            request=request.request_id,
            backend=member.backend_id,
            silent_ms=round(silent_ms, 1),
            replacement=replacement,
        )

    def record_overlap_ended(
        self, request, member, exchange, is_heard, reachability, decision
    ):
        """Record what follows when two runs have overlapped and delivered nothing.

        Parameters
        ----------
        request : Request
        member : Member
            The server of the silent run.
        exchange : Exchange
            The silent run.
        is_heard : bool
            Its placer has just reported that it responds.
        reachability : Reachability
        decision : OverlapEnd
        """
        kept = decision.value
        self._overlaps.labels(kept).inc()
        logger.info(
            "overlap_ended",
            request=request.request_id,
            backend=member.backend_id,
            silent_ms=round(exchange.silent_ms(), 1),
            undelivered_ms=round(exchange.undelivered_ms(), 1),
            heard=is_heard,
            reported_reachable=member.is_reachable,
            reachability=reachability.value,
            kept=kept,
        )

    def record_shed(self, request, progress, error):
        """Record that a request is ended because the process holds too many bytes.

        Parameters
        ----------
        request : Request
        progress : AnswerProgress
        error : CallerShedError
        """
        waited_ms = error.waited_ms
        logger.warning(
            "request_shed",
            request=request.request_id,
            held_bytes=error.held_bytes,
            waited_ms=None if waited_ms is None else round(waited_ms, 1),
            total_bytes=error.total_bytes,
            may_have_run=bool(request.tried_ids),
            has_answer_begun=progress.responder.has_started,
        )

    def record_ended(self, request, progress, ending, now_ms, configuration_version):
        """Record the end of a request.

        Parameters
        ----------
        request : Request
        progress : AnswerProgress
        ending : Ending
        now_ms : float
        configuration_version : int
            Version of the configuration in force at the end.
        """
        kind = request.route.kind.value
        end = ending.name
        arrived_ms = request.incoming.arrived_ms
        self._ended.labels(kind, end).inc()
        if end == "not_run":
            self._refused.labels(ending.reason).inc()
        if ending.reason in (SHUTDOWN, STOPPING):
            self._stopped.labels(kind, end).inc()
        self._whole.labels(kind).observe((now_ms - arrived_ms) / 1000)
        first_ms = None
        if progress.first_byte_ms:
            first_ms = round(progress.first_byte_ms - arrived_ms, 1)
            self._first.labels(kind).observe(first_ms / 1000)
        if request.adapter:
            self._load_wait.observe(request.waited_ms / 1000)
            self._turn_wait.observe(request.paced_ms / 1000)
        log = logger.info if end == "completed" else logger.warning
        log(
            "request_ended",
            request=request.request_id,
            route=request.route.name,
            kind=kind,
            end=end,
            reason=ending.reason,
            suspect=request.refused_suspect_id,
            adapter=request.adapter,
            backends=sorted(request.tried_ids),
            sent=request.sent_count,
            runs=request.run_count,
            first_ms=first_ms,
            target_ms=request.route.target_ms,
            gap_ms=round(progress.longest_gap_ms, 1),
            gap_target_ms=request.route.gap_target_ms,
            whole_ms=round(now_ms - arrived_ms, 1),
            waited_ms=round(request.waited_ms, 1),
            paced_ms=round(request.paced_ms, 1),
            tokens=request.prompt_tokens,
            configuration=request.configuration_version,
            configuration_at_end=configuration_version,
            tenant=_name_tenant(request.tenant),
        )


def _round_finite(age_ms):
    """Return a time for a log line, None if it is not known."""
    return round(age_ms, 1) if math.isfinite(age_ms) else None


def _name_tenant(tenant):
    return tenant.name if tenant is not None else ""
