"""Settings of one process: their defaults, and the INI reader that validates them.

The attrs classes below define all settings: each class is a section, each field a key.
A team's policy is not here but in the configuration generated from its questionnaire.
"""

import configparser
import pathlib

import attrs

MAX_PORT = 65_535


def _setting(default, text, allowed=None, secret=False):
    """Return the attrs field of a key, with its meaning and its allowed values."""
    metadata = {"text": text, "allowed": allowed, "secret": secret}
    return attrs.field(default=default, metadata=metadata)


@attrs.frozen
class Range:
    """Allowed numbers of a key, both ends included."""

    low: float
    high: float

    def accepts(self, value):
        """Return whether `value` lies in the range."""
        return self.low <= value <= self.high

    def __str__(self):
        return f"a number from {self.low:g} to {self.high:g}"


@attrs.frozen
class OneOf:
    """Allowed values of a key."""

    choices: tuple[str, ...]

    def accepts(self, value):
        """Return whether `value` is one of the allowed values."""
        return value in self.choices

    def __str__(self):
        return "one of " + ", ".join(self.choices)


@attrs.frozen
class ProcessSettings:
    """Section ``[process]``: identity of this process."""

    name: str = _setting(
        "", "Name in logs, accounts and status; if empty, role and port."
    )
    zone: str = _setting("", "Availability zone of this host.")
    log_level: str = _setting(
        "info",
        "Lowest level that is logged.",
        OneOf(("debug", "info", "warning", "error")),
    )

    memory_mb: int = _setting(
        512,
        "Memory that the process may take; what callers send or do not read is refused "
        "or cut off before.",
        Range(128, 2**20),
    )
    descriptors_max: int = _setting(
        0,
        "Maximum number of open descriptors, of which callers' connections get a part; "
        "0 selects the limit of the system.",
        Range(0, 2**20),
    )


@attrs.frozen
class ListenSettings:
    """Section ``[listen]``: the address this process binds to."""

    host: str = _setting("127.0.0.1", "IP address.")
    port: int = _setting(0, "TCP port; 0 selects a free one.", Range(0, MAX_PORT))


@attrs.frozen
class ChannelSettings:
    """Section ``[channel]``: streams between entries and agents."""

    shared_secret: str = _setting("", "Secret shared by both ends.", secret=True)
    heartbeat_every_ms: int = _setting(
        1_000,
        "Interval between pings of a stream while an answer is awaited.",
        Range(100, 60_000),
    )
    outbox_bytes_max: int = _setting(
        8_388_608, "Unsent bytes after which a stream is closed.", Range(65_536, 2**31)
    )


@attrs.frozen
class PlatformSettings:
    """Section ``[platform]``: addresses of the platform's services, and polling."""

    table_url: str = _setting("", "Base URL of the table service.")
    objects_url: str = _setting("", "Base URL of the object store.")
    hosts_url: str = _setting("", "Base URL of the host list.")
    call_within_ms: int = _setting(
        1_500, "Timeout of one call to the platform.", Range(10, 60_000)
    )
    hosts_poll_every_ms: int = _setting(
        1_000, "Polling interval of the host list.", Range(50, 60_000)
    )
    head_poll_every_ms: int = _setting(
        1_000, "Polling interval of the configuration's head row.", Range(50, 60_000)
    )


@attrs.frozen
class EntrySettings:
    """Section ``[entry]``: limits of an entry process."""

    body_bytes_max: int = _setting(
        1_048_576, "Maximum size of a request body.", Range(1_024, 2**30)
    )
    header_bytes_max: int = _setting(
        16_384, "Maximum total size of request headers.", Range(1_024, 2**20)
    )
    in_flight_max: int = _setting(
        2_000, "Requests in progress above which new ones are refused.", Range(1, 10**6)
    )
    answer_within_ms: int = _setting(
        30_000, "Deadline of a request that specifies none.", Range(100, 3_600_000)
    )
    attempts_max: int = _setting(
        3, "Maximum number of attempts per request.", Range(1, 10)
    )
    retry_ratio: float = _setting(
        0.1,
        "Retries that each first attempt adds to the retry budget.",
        Range(0.0, 1.0),
    )
    drain_within_ms: int = _setting(
        600_000, "Maximum wait for running requests at shutdown.", Range(0, 3_600_000)
    )


@attrs.frozen
class AgentSettings:
    """Section ``[agent]``: the agent and its backend server."""

    service: str = _setting("", "Service that the backend server belongs to.")
    backend_url: str = _setting("", "Base URL of the backend server.")
    backend_secret: str = _setting(
        "", "Secret sent to a backend server that checks orders.", secret=True
    )
    status_port: int = _setting(
        0,
        "TCP port of /healthz, /readyz and /status; 0 selects a free one.",
        Range(0, MAX_PORT),
    )
    queue_max: int = _setting(
        512, "Maximum number of requests queued at this agent.", Range(1, 10**6)
    )
    merge_frames_within_ms: int = _setting(
        25,
        "Maximum delay of an answer's bytes to merge them into larger frames.",
        Range(0, 80),
    )
    report_every_ms: int = _setting(
        500, "Interval between reports on an open stream.", Range(50, 60_000)
    )
    report_lag_max_ms: int = _setting(
        2_000, "Maximum lag of the backend server's reports.", Range(0, 60_000)
    )
    lease_term_ms: int = _setting(
        60_000, "Time from a renewal to the lease's deadline.", Range(1_000, 3_600_000)
    )
    clock_skew_ms: int = _setting(
        500, "Maximum difference between the clocks of two hosts.", Range(0, 60_000)
    )
    drain_within_ms: int = _setting(
        600_000, "Maximum wait for running requests at shutdown.", Range(0, 3_600_000)
    )


@attrs.frozen
class AccountSettings:
    """Section ``[accounts]``: how events reach the object store."""

    flush_every_ms: int = _setting(
        1_000, "Interval between segment writes.", Range(50, 600_000)
    )
    buffer_events_max: int = _setting(
        100_000,
        "Maximum number of events buffered while the store is down.",
        Range(100, 10**7),
    )
    watermark_every_ms: int = _setting(
        60_000, "Maximum interval between watermarks while idle.", Range(50, 3_600_000)
    )


@attrs.frozen
class TelemetrySettings:
    """Section ``[telemetry]``: OpenTelemetry export."""

    otlp_url: str = _setting(
        "", "Base URL of an OTLP/HTTP receiver; if empty, nothing is exported."
    )
    export_every_ms: int = _setting(
        10_000, "Interval between exports of metrics.", Range(100, 600_000)
    )


@attrs.frozen
class Settings:
    """All sections of one process."""

    process: ProcessSettings = ProcessSettings()
    listen: ListenSettings = ListenSettings()
    channel: ChannelSettings = ChannelSettings()
    platform: PlatformSettings = PlatformSettings()
    entry: EntrySettings = EntrySettings()
    agent: AgentSettings = AgentSettings()
    accounts: AccountSettings = AccountSettings()
    telemetry: TelemetrySettings = TelemetrySettings()


@attrs.frozen
class Mistake:
    """One mistake in an INI file and its location."""

    section: str
    key: str
    text: str

    def __str__(self):
        location = f"[{self.section}] {self.key}".rstrip()
        return f"{location}: {self.text}"


@attrs.frozen
class InvalidFile:
    """Returned in place of an invalid file's content, with all its mistakes."""

    path: str
    mistakes: tuple[Mistake, ...]

    def __str__(self):
        return "\n".join(f"{self.path}: {mistake}" for mistake in self.mistakes)


def _parse_value(field, text):
    """Return the typed value of a key, or raise ValueError saying what is allowed."""
    allowed = field.metadata["allowed"]
    expected = str(allowed) if allowed else f"a value of type {field.type.__name__}"
    try:
        value = field.metadata.get("parse", field.type)(text)
    except ValueError:
        raise ValueError(f"{text!r} is not {expected}") from None
    if allowed and not allowed.accepts(value):
        raise ValueError(f"{text!r} is not {expected}")
    return value


def parse_section(section_class, name, pairs, mistakes):
    """Read one section of an INI file.

    Parameters
    ----------
    section_class : type
        attrs class with one field for each key. The metadata of a field holds its
        ``text``, what is ``allowed`` (an object such as Range or OneOf, or None) and,
        if the type cannot convert a str itself, a ``parse`` function.
    name : str
    pairs : mapping of str to str
    mistakes : list of Mistake
        Mistakes are appended here.

    Returns
    -------
    object of type `section_class`
        With the default in place of each missing or invalid value.
    """
    fields = attrs.fields_dict(section_class)
    values = {}
    for key, text in pairs.items():
        if key not in fields:
            allowed = ", ".join(sorted(fields))
            mistakes.append(Mistake(name, key, f"unknown key; allowed: {allowed}"))
            continue
        try:
            values[key] = _parse_value(fields[key], text)
        except ValueError as error:
            mistakes.append(Mistake(name, key, str(error)))
    return section_class(**values)


def read_ini(path):
    """Return a ConfigParser of the file at `path`, or an InvalidFile."""
    parser = configparser.ConfigParser(interpolation=None)
    parser.optionxform = str
    try:
        parser.read_string(pathlib.Path(path).read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, configparser.Error) as error:
        return InvalidFile(str(path), (Mistake("", "", str(error)),))
    return parser


def load(path, required=()):
    """Read the settings of a process.

    Parameters
    ----------
    path : str
    required : sequence of str
        ``section.key`` names that must not be empty.

    Returns
    -------
    Settings or InvalidFile
        An InvalidFile lists all mistakes.
    """
    parser = read_ini(path)
    if isinstance(parser, InvalidFile):
        return parser
    mistakes = []
    classes = {field.name: field.type for field in attrs.fields(Settings)}
    sections = {}
    for name in parser.sections():
        if name not in classes:
            allowed = ", ".join(sorted(classes))
            mistakes.append(Mistake(name, "", f"unknown section; allowed: {allowed}"))
            continue
        sections[name] = parse_section(classes[name], name, parser[name], mistakes)
    settings = Settings(**sections)
    for qualified_key in required:
        section, _, key = qualified_key.partition(".")
        if not getattr(getattr(settings, section), key):
            mistakes.append(Mistake(section, key, "must be set"))
    if mistakes:
        return InvalidFile(str(path), tuple(mistakes))
    return settings
