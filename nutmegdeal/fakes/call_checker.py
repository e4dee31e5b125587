"""Checks the results that callers got against what the backend servers ran."""

import collections
import hashlib

import attrs

from nutmegdeal.fakes.answers import expected_answer, plain_answer, read_text
from nutmegdeal.identifiers import request_of_attempt
from nutmegdeal.messages import Fate


@attrs.frozen
class Call:
    """One request of a caller and its result.

    Parameters
    ----------
    method, path : str
        As the backend server receives them.
    body : bytes
    request_id : str
    fate : Fate
    answer : bytes
        Response body.
    engine_name : str
        Requested adapter, as ``adapter@version``; "" for a plain service.
    prompt : str
    max_tokens : int
    stream : bool
    idempotency_key : str
    """

    method: str
    path: str
    body: bytes
    request_id: str
    fate: Fate
    answer: bytes
    engine_name: str = ""
    prompt: str = ""
    max_tokens: int = 0
    stream: bool = False
    idempotency_key: str = ""

    @property
    def has_expected_answer(self):
        """True if the answer is the one that the backend server should send."""
        if not self.engine_name:
            digest = hashlib.sha256(self.body).hexdigest()
            path = self.path.partition("?")[0]
            return self.answer == plain_answer(self.method, path, digest)
        try:
            text = read_text(self.answer, self.stream)
        except (ValueError, KeyError, IndexError):
            return False
        return text == expected_answer(self.engine_name, self.prompt, self.max_tokens)


@attrs.define
class CheckReport:
    """Counts of calls and errors, in the order in which they are printed.

    Parameters
    ----------
    requests : int
        Calls checked.
    completed, not_run, in_doubt, failed : int
        Calls by their fate.
    wrong_adapter : int
        Calls that ran on another adapter.
    incomplete_unmarked : int
        Calls reported as completed whose answer is not the expected one.
    ran_twice : int
        Idempotency keys that ran more than once.
    problems : list of str
        Description of each error.
    """

    requests: int = 0
    completed: int = 0
    not_run: int = 0
    in_doubt: int = 0
    failed: int = 0
    wrong_adapter: int = 0
    incomplete_unmarked: int = 0
    ran_twice: int = 0
    problems: list = attrs.field(factory=list)

    @property
    def has_passed(self):
        """True if there is no problem and every request has a fate."""
        fate_count = self.completed + self.not_run + self.in_doubt + self.failed
        return not self.problems and fate_count == self.requests

    def counts(self):
        """Return all counts (dict) by name."""
        return attrs.asdict(self, filter=lambda field, _: field.name != "problems")


def check_calls(calls, runs):
    """Compare the fates and answers that callers got with what ran.

    Parameters
    ----------
    calls : sequence of Call
    runs : sequence of dict
        The ``runs`` in the records of all backend servers.

    Returns
    -------
    CheckReport
    """
    report = CheckReport(requests=len(calls))
    runs_by_request = collections.defaultdict(list)
    for run in runs:
        runs_by_request[request_of_attempt(run["attempt_id"])].append(run)
    for call in calls:
        _check_call(call, runs_by_request[call.request_id], report)
    _check_idempotency_keys(calls, runs, report)
    return report


def _check_call(call, runs, report):
    setattr(report, call.fate.value, getattr(report, call.fate.value) + 1)
    wrong_adapters = {run["adapter"] for run in runs} - {call.engine_name}
    if wrong_adapters:
        report.wrong_adapter += 1
        report.problems.append(f"{call.request_id} ran on {wrong_adapters}")
    if call.fate is Fate.COMPLETED and not call.has_expected_answer:
        report.incomplete_unmarked += 1
        report.problems.append(f"{call.request_id} got {call.answer[:200]!r}")
    if call.fate is Fate.NOT_RUN and runs:
        report.problems.append(f"{call.request_id} was reported as not run, but it ran")
    if call.fate is Fate.COMPLETED and not runs and not call.idempotency_key:
        report.problems.append(f"{call.request_id} completed, but no run is recorded")


def _check_idempotency_keys(calls, runs, report):
    keys = {call.idempotency_key for call in calls} - {""}
    counts = collections.Counter(run["idempotency_key"] for run in runs)
    for key in sorted(keys):
        if counts[key] > 1:
            report.ran_twice += 1
            report.problems.append(f"{key} ran {counts[key]} times")
        is_completed = any(
            call.idempotency_key == key and call.fate is Fate.COMPLETED
            for call in calls
        )
        if is_completed and not counts[key]:
            report.problems.append(f"{key} completed, but no run is recorded")
