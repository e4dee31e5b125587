"""``nutmegdeal-ctl``: configuration, status and explanations of requests."""

import json
import pathlib
import sys
from typing import Annotated

import cattrs
import cyclopts

from nutmegdeal import (
    __version__,
    acceptance,
    configuration_files,
    explanation_text,
    explanations,
    fleet,
    identifiers,
    ledger_sweep,
    part_rows_admin,
    request_log,
    request_losses,
)
from nutmegdeal import questionnaire as questionnaires
from nutmegdeal import settings as settings_module
from nutmegdeal.account_reader import AccountReader, LedgerReader
from nutmegdeal.clock import SystemClock
from nutmegdeal.connection_pool import ConnectionPool
from nutmegdeal.errors import Failure
from nutmegdeal.exit_codes import ExitCode
from nutmegdeal.platform.settings import load_node_settings, parse_address
from nutmegdeal.platform.store import StoreClient
from nutmegdeal.services.hosts import HttpHostList
from nutmegdeal.services.objects import HttpObjectStore
from nutmegdeal.services.table import HttpTableService
from nutmegdeal.settings import InvalidFile

EXIT_CODES_HELP = (
    "Exit codes: 0 done; 2 wrong command line or invalid input file; 3 another "
    "configuration was accepted first, or a prompt part changed each time; 4 the "
    "platform or a process could not be read or written, nothing changed except by a "
    "sweep that stopped; 5 it is not known whether the configuration was accepted or "
    "the prompt part removed; 6 nothing is recorded about the request or prompt part."
)
PLATFORM_KEYS = ("platform.table_url", "platform.objects_url", "platform.hosts_url")

JsonFlag = Annotated[bool, cyclopts.Parameter(name="--json", negative="")]

app = cyclopts.App(
    name="nutmegdeal-ctl",
    help="Generate and accept configuration, show status, explain requests.",
    help_epilogue=EXIT_CODES_HELP,
    version=__version__,
)
questionnaire_app = cyclopts.App(
    name="questionnaire", help="Write and check a team's questionnaire."
)
app.command(questionnaire_app)


def _exit_with_error(code, text):
    print(text, file=sys.stderr)
    sys.exit(code)


def _exit_if_invalid(content):
    """Return `content`, or exit if it is an InvalidFile."""
    if isinstance(content, InvalidFile):
        _exit_with_error(ExitCode.INVALID_INPUT, content)
    return content


def _load_platform_settings(path):
    """Return the section ``[platform]`` of a settings file, or exit."""
    return _exit_if_invalid(settings_module.load(path, PLATFORM_KEYS)).platform


def _read_configuration(path):
    """Return the Configuration in a file, or exit."""
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        _exit_with_error(ExitCode.INVALID_INPUT, f"{path}: {error}")
    return _exit_if_invalid(configuration_files.parse_configuration(text))


@questionnaire_app.command
def new():
    """Print an empty questionnaire with comments."""
    print(questionnaires.template(), end="")


@questionnaire_app.command
def check(file: str, /):
    """Check a questionnaire and print all its errors.

    Parameters
    ----------
    file
        The questionnaire.
    """
    answers = _exit_if_invalid(questionnaires.load(file))
    configuration = questionnaires.generate(answers)
    print(
        f"{file}: valid; {len(configuration.services)} services, "
        f"{len(configuration.adapters)} adapters"
    )


@app.command
def generate(file: str, /):
    """Print the configuration made from a questionnaire; the output is deterministic.

    Parameters
    ----------
    file
        The questionnaire.
    """
    answers = _exit_if_invalid(questionnaires.load(file))
    print(
        configuration_files.format_configuration(questionnaires.generate(answers)),
        end="",
    )


@app.command
def diff(old: str, new: str, /):
    """Print the differences between two configurations, one per line.

    Parameters
    ----------
    old
        Configuration file to compare with.
    new
        Changed configuration file.
    """
    changes = configuration_files.describe_changes(
        _read_configuration(old), _read_configuration(new)
    )
    print("\n".join(changes or ("no difference",)))


@app.command
def accept(file: str, /, *, base: int, settings: str, accept_id: str = ""):
    """Accept a configuration, so that all processes apply it.

    Parameters
    ----------
    file
        Configuration file, as printed by ``generate``.
    base
        Generation that it is based on, 0 for the first one; see ``status``.
    settings
        INI file with the section [platform].
    accept_id
        Id printed by a command whose result is unknown, to repeat that command.
    """
    configuration = _read_configuration(file)
    platform = _load_platform_settings(settings)
    accept_id = accept_id or identifiers.new_incarnation()
    outcome = acceptance.accept(
        configuration,
        base,
        accept_id,
        HttpTableService(platform.table_url, platform.call_within_ms),
        HttpObjectStore(platform.objects_url, platform.call_within_ms),
    )
    if isinstance(outcome, acceptance.Accepted):
        print(f"accepted as generation {outcome.generation}")
        return
    if isinstance(outcome, acceptance.Superseded):
        text = f"not accepted: generation {outcome.generation} is in force. It changed:"
        _exit_with_error(ExitCode.SUPERSEDED, "\n  ".join((text, *outcome.changes)))
    if outcome.maybe_applied:
        text = f"may be accepted; repeat with --accept-id {accept_id}: {outcome}"
        _exit_with_error(ExitCode.IN_DOUBT, text)
    _exit_with_error(ExitCode.UNAVAILABLE, f"not accepted: {outcome}")


@app.command
def status(*, settings: str, process: tuple[str, ...] = (), as_json: JsonFlag = False):
    """Show generations, hosts, resident adapters, queues and leases.

    Parameters
    ----------
    settings
        INI file with the section [platform].
    process
        Base URL of an entry, which also reports its agents, or of the status port of
        an agent; may be repeated.
    as_json
        Print JSON.
    """
    platform = _load_platform_settings(settings)
    timeout_ms = platform.call_within_ms
    reader = fleet.FleetReader(
        HttpTableService(platform.table_url, timeout_ms),
        HttpHostList(platform.hosts_url, timeout_ms),
        timeout_ms,
    )
    state = reader.read(process)
    _print_result(state, fleet.describe, as_json)
    if state.failures:
        sys.exit(ExitCode.UNAVAILABLE)


@app.command
def why(
    request_id: str,
    /,
    *,
    settings: str = "",
    logs: Annotated[list[str], cyclopts.Parameter(consume_multiple=True)] = (),
    as_json: JsonFlag = False,
):
    """Explain how a request was handled, from stored events or from log files.

    Parameters
    ----------
    request_id
        Value of the header X-Request-Id of the answer.
    settings
        INI file with the section [platform], to read stored events.
    logs
        Log files of gateways and placers, to read instead of stored events.
    as_json
        Print JSON.
    """
    if logs:
        _explain_from_logs(request_id, logs, as_json)
        return
    if not settings:
        _exit_with_error(
            ExitCode.INVALID_INPUT, "either --settings or --logs is required"
        )
    platform = _load_platform_settings(settings)
    table = HttpTableService(platform.table_url, platform.call_within_ms)
    objects = HttpObjectStore(platform.objects_url, platform.call_within_ms)
    reader = AccountReader(objects, LedgerReader(table).find_row)
    evidence = reader.read(request_id)
    account = explanations.explain(
        request_id,
        evidence.events,
        evidence.coverages,
        evidence.ledger_row,
        SystemClock().unix_ms(),
    )
    _print_result(account, explanation_text.describe, as_json)
    if account.is_empty:
        has_unreadable_records = account.has_unreadable_records
        sys.exit(ExitCode.UNAVAILABLE if has_unreadable_records else ExitCode.NOT_FOUND)


def _explain_from_logs(request_id, paths, as_json):
    log_summary = request_log.summarize_request_log(request_id, _read_lines(paths))
    _print_result(log_summary, request_log.describe, as_json)
    if log_summary.is_empty:
        sys.exit(ExitCode.NOT_FOUND)


def _read_lines(paths):
    """Return the lines of text files, or exit."""
    texts = []
    for path in paths:
        try:
            text = pathlib.Path(path).read_text(encoding="utf-8", errors="replace")
        except OSError as error:
            _exit_with_error(ExitCode.INVALID_INPUT, f"{path}: {error}")
        texts += text.splitlines()
    return texts


@app.command
def losses(*files: str, as_json: JsonFlag = False):
    """Count requests that were not served in time, by route and cause.

    Parameters
    ----------
    files
        Log files of gateways.
    as_json
        Print JSON.
    """
    lines = map(request_log.parse_line, _read_lines(files))
    table = request_losses.read_losses(line for line in lines if line is not None)
    _print_result(table, request_losses.describe, as_json)


@app.command(name="check-node")
def check_node(file: str, /):
    """Check the settings file that the users' platform provides for a process.

    Parameters
    ----------
    file
        The settings file, JSON.
    """
    settings = load_node_settings(file)
    if isinstance(settings, Failure):
        _exit_with_error(ExitCode.INVALID_INPUT, settings)
    print(f"{file}: valid; {settings.role} on {settings.node_name}")


@app.command(name="list-parts")
def list_parts(*, store: str, as_json: JsonFlag = False):
    """List the prompt parts that are suspected of crashing engines, or refused.

    Parameters
    ----------
    store
        HOST:PORT of the platform's store.
    as_json
        Print JSON.
    """
    rows = part_rows_admin.read_parts(_build_store_client(store))
    if isinstance(rows, Failure):
        _exit_with_error(ExitCode.UNAVAILABLE, rows)
    _print_result(rows, part_rows_admin.describe, as_json)


@app.command(name="lift-part")
def lift_part(part: str, /, *, store: str):
    """Remove what is stored of a prompt part, so that all gateways send it again.

    Parameters
    ----------
    part
        Id of the prompt part, see ``list-parts``.
    store
        HOST:PORT of the platform's store.
    """
    outcome = part_rows_admin.remove_part(_build_store_client(store), part)
    if isinstance(outcome, part_rows_admin.PartRow):
        print(f"removed {part_rows_admin.describe_row(outcome)}")
        return
    if isinstance(outcome, part_rows_admin.PartNotFound):
        text = f"{part}: neither suspected nor refused"
        _exit_with_error(ExitCode.NOT_FOUND, text)
    if isinstance(outcome, part_rows_admin.PartChanged):
        text = f"{part}: not removed, others changed it {outcome.tries} times"
        _exit_with_error(ExitCode.SUPERSEDED, text)
    if isinstance(outcome, part_rows_admin.RemovalInDoubt):
        text = f"{part}: may be removed; repeat the command: {outcome.failure}"
        _exit_with_error(ExitCode.IN_DOUBT, text)
    _exit_with_error(ExitCode.UNAVAILABLE, f"{part}: not removed: {outcome}")


def _build_store_client(address_text):
    """Return a StoreClient for an address, or exit."""
    try:
        address = parse_address(address_text)
    except ValueError as error:
        _exit_with_error(ExitCode.INVALID_INPUT, f"--store {address_text}: {error}")
    return StoreClient(address, ConnectionPool(SystemClock()))


@app.command
def sweep(*, settings: str):
    """Delete the ledger rows of idempotency keys that expired long ago.

    Parameters
    ----------
    settings
        INI file with the section [platform]; clock_skew_ms of its section [agent] is
        used.
    """
    loaded_settings = _exit_if_invalid(settings_module.load(settings, PLATFORM_KEYS))
    platform = loaded_settings.platform
    table = HttpTableService(platform.table_url, platform.call_within_ms)
    total = ledger_sweep.sweep_all(
        table, SystemClock(), loaded_settings.agent.clock_skew_ms
    )
    print(f"deleted {total.deleted_count} expired rows")
    if total.failure is not None:
        _exit_with_error(
            ExitCode.UNAVAILABLE, f"stopped, some rows may remain: {total.failure}"
        )


def _print_result(content, describe, as_json):
    """Print an attrs object as JSON, or as the lines of ``describe(content)``."""
    if as_json:
        print(json.dumps(_converter.unstructure(content), indent=2))
        return
    print("\n".join(describe(content)))


_converter = cattrs.Converter()
_converter.register_unstructure_hook(Failure, lambda failure: {"failure": str(failure)})
_converter.register_unstructure_hook(
    bytes, lambda body: body.decode("utf-8", "replace")
)


def main():
    """Run the program."""
    app()


if __name__ == "__main__":
    main()
