"""Calls to the store that take tokens from the cells of tenants' buckets."""

import gevent

from nutmegdeal.errors import Failure
from nutmegdeal.log import get_logger
from nutmegdeal.platform.rows import DECODE_ERRORS
from nutmegdeal.quotas.answer_timeout import AnswerTimeout
from nutmegdeal.quotas.balance import is_tranche
from nutmegdeal.quotas.rows import (
    BUCKET_KEY,
    QUOTAS_TABLE,
    decode_record,
    encode_record,
    locate_cell,
)

logger = get_logger(__name__)

# Least pause between two log lines on one tenant.
LOG_EVERY_MS = 1_000.0


class CellFetcher:
    """Takes tokens from cells, and returns those that are not needed.

    Parameters
    ----------
    store : StoreClient
    board : Blackboard
    telemetry : QuotaTelemetry
    """

    def __init__(self, store, board, telemetry):
        self._store = store
        self._board = board
        self._clock = board.clock
        self._telemetry = telemetry
        self._failed_calls = 0
        self._timeout = AnswerTimeout()
        self._logged_ms = {}

    def fetch(self, tenant, cell, balance):
        """Take or return tokens of one cell.

        Parameters
        ----------
        tenant : Tenant
        cell : int
            Number of the cell.
        balance : TenantBalance
            Of that cell.
        """
        part = locate_cell(tenant.name, cell)
        conflict_count = 0
        while balance.may_repeat(conflict_count):
            if not self._refresh(part, balance):
                return
            now_ms = self._clock.monotonic_ms()
            planned = self._plan(balance, now_ms)
            if not is_tranche(planned):
                self._apply_empty(tenant, balance, planned)
                return
            balance.begin_write(planned)
            sent_ms = self._clock.boot_ms()
            result = self._write(part, balance.row_version, planned.record)
            if isinstance(result, Failure):
                self._apply_failure(balance, result)
                return
            self._apply_answer(result.store_ms, result.era, sent_ms)
            if result.is_done:
                balance.apply_tranche(
                    planned,
                    now_ms,
                    self._clock.monotonic_ms(),
                    result.version,
                    result.era,
                )
                return
            conflict_count += 1
            balance.cancel_write(planned)
            self._observe(balance, result.rows)
            gevent.sleep(balance.conflict_pause_ms(conflict_count) / 1000)
        balance.apply_conflicts(self._clock.monotonic_ms())

    def _refresh(self, part, balance):
        """Read a row if it may have changed; return whether it is known."""
        started_ms = self._clock.monotonic_ms()
        if not balance.needs_read(started_ms):
            return True
        sent_ms = self._clock.boot_ms()
        result = self._store.read_first_row(
            QUOTAS_TABLE, BUCKET_KEY, self._timeout.timeout_ms, part
        )
        self._record_call("read", result, started_ms)
        if isinstance(result, Failure):
            self._apply_failure(balance, result)
            return False
        self._apply_answer(result.store_ms, result.position.era, sent_ms)
        self._observe(balance, [row for row in result.rows if row.key == BUCKET_KEY])
        return True

    def _observe(self, balance, rows):
        """Keep the row of an answer; a malformed one counts as an empty bucket."""
        now_ms = self._clock.monotonic_ms()
        found = [row for row in rows if row.value is not None]
        if not found:
            balance.observe(None, 0, now_ms)
            return
        (row,) = found
        record = None
        try:
            record = decode_record(row.value)
        except DECODE_ERRORS as error:
            logger.warning("row_malformed", key=row.key, error=repr(error))
        balance.observe(record, row.version, now_ms)

    def _plan(self, balance, now_ms):
        board = self._board
        offset_ms = board.store_clock_offset_ms
        era = self._store.newest_era
        # The watchers of other tables may not have seen a new era yet.
        since_ms = board.store_era_since_ms if era == board.store_era else now_ms
        return balance.plan(era, now_ms, now_ms + offset_ms, since_ms + offset_ms)

    def _write(self, part, row_version, record):
        started_ms = self._clock.monotonic_ms()
        result = self._store.write_rows(
            QUOTAS_TABLE,
            {BUCKET_KEY: row_version},
            {BUCKET_KEY: encode_record(record)},
            part=part,
            within_ms=self._timeout.timeout_ms,
        )
        is_conflict = not isinstance(result, Failure) and not result.is_done
        outcome = "conflict" if is_conflict else "written"
        self._record_call(outcome, result, started_ms)
        return result

    def _record_call(self, outcome, result, started_ms):
        taken_ms = self._clock.monotonic_ms() - started_ms
        if isinstance(result, Failure):
            outcome = "failed"
            self._timeout.record_failure()
        else:
            self._timeout.record_answer(taken_ms)
        self._telemetry.record_store_call(QUOTAS_TABLE, outcome, taken_ms)

    def _apply_answer(self, store_ms, era, sent_ms):
        if store_ms:
            self._board.record_store_answer(store_ms, era, sent_ms)
        if self._failed_calls:
            logger.info(
                "store_regained", table=QUOTAS_TABLE, failed_calls=self._failed_calls
            )
        self._failed_calls = 0

    def _apply_failure(self, balance, failure):
        if not self._failed_calls:
            logger.warning("store_lost", table=QUOTAS_TABLE, failure=str(failure))
        self._failed_calls += 1
        balance.apply_failure(self._clock.monotonic_ms())

    def _apply_empty(self, tenant, balance, empty):
        now_ms = self._clock.monotonic_ms()
        store_ms = now_ms + self._board.store_clock_offset_ms
        waiting_count = len(balance.waiters)
        balance.apply_empty(empty, now_ms, store_ms)
        self._telemetry.record_empty(tenant)
        if now_ms < self._logged_ms.get(tenant.name, float("-inf")) + LOG_EVERY_MS:
            return
        self._logged_ms[tenant.name] = now_ms
        logger.info(
            "quota_tranche_refused",
            tenant=tenant.name,
            bucket_tokens=round(empty.record.level, 1),
            waiting=waiting_count,
        )
