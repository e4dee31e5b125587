"""Sections of the questionnaire and of configuration files.

The attrs classes below define all questions: each class is a section, each field a key.
"""

import re

import attrs

from nutmegdeal.configuration import (
    AdapterPolicy,
    Fencing,
    OperationPolicy,
    ServicePolicy,
    WeightStorePolicy,
)
from nutmegdeal.messages import BackendKind, Urgency
from nutmegdeal.settings import Mistake, OneOf, Range, parse_section

HTTP_METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE")
YES_OR_NO = ("yes", "no")
VERSION_PATTERN = re.compile(r"[A-Za-z0-9._-]+")
ADAPTER_SYNTAX = "versions 1, 2; current 2 [; urgency urgent, normal or bulk]"


@attrs.frozen
class AllowedText:
    """Description of the allowed text of a key."""

    text: str

    def accepts(self, value):
        """Return True: the parser of the key checks the value."""
        return True

    def __str__(self):
        return self.text


def _parse_line(text):
    if "\n" in text:
        raise ValueError(text)
    return text


ONE_LINE = AllowedText("text on one line")


def _question(text, allowed=ONE_LINE, parse=_parse_line, default=None):
    """Return the attrs field of a key; one without a default must be answered."""
    metadata = {"text": text, "allowed": allowed, "parse": parse}
    return attrs.field(default=default, metadata=metadata)


def _values_of(enum_class):
    return OneOf(tuple(member.value for member in enum_class))


def _parse_names(text):
    names = tuple(name.strip() for name in text.split(","))
    if not all(names) or len(set(names)) < len(names):
        raise ValueError(text)
    return names


def _parse_path(text):
    if not text.startswith("/") or "*" in text[:-1]:
        raise ValueError(text)
    return text


def format_answer(value):
    """Return the text of an answer as it stands in a file."""
    if isinstance(value, tuple):
        return ", ".join(value)
    if isinstance(value, float):
        return f"{value:g}" if float(f"{value:g}") == value else repr(value)
    return str(value)


class Section:
    """Base class of the sections."""

    @property
    def is_complete(self):
        """True if every key has an answer."""
        return all(value is not None for value in attrs.astuple(self, recurse=False))

    def pairs(self):
        """Return (key, text) of each answer, as it stands in a file."""
        values = attrs.asdict(self, recurse=False)
        return [(key, format_answer(value)) for key, value in values.items()]


@attrs.frozen
class TeamSection(Section):
    """Section ``[team]``."""

    name: str = _question("Name of the team.")
    region: str = _question("Region in which the team's hosts run.")
    zones: tuple = _question(
        "Availability zones of the region.",
        AllowedText("different names with commas between them"),
        _parse_names,
    )
    stall_weight: float = _question(
        "Relative weight of load stalls; batch efficiency has the rest.",
        Range(0, 1),
        float,
    )


@attrs.frozen
class WeightStoreSection(Section):
    """Section ``[weight_store]``."""

    loads_per_s: float = _question(
        "Loads that the weight store gives in a second.", Range(0.001, 1e6), float
    )
    full_speed_count: int = _question(
        "Loads that run at full speed at once.", Range(1, 1e6), int, 2
    )
    transit_max: int = _question(
        "Adapters in transit across all replicas before load time grows.",
        Range(1, 1e6),
        int,
        16,
    )
    load_ms: float = _question(
        "Time of one load within these limits, in ms.", Range(0.1, 1e6), float, 250.0
    )

    def as_policy(self):
        """Return the WeightStorePolicy."""
        return WeightStorePolicy(**attrs.asdict(self))


@attrs.frozen
class ServiceSection(Section):
    """Section ``[service NAME]``."""

    kind: str = _question("What the service runs on.", _values_of(BackendKind))
    replicas: int = _question("Backend servers planned.", Range(1, 1e5), int)
    concurrency: int = _question(
        "Requests that one backend server runs at once; an engine's batch size.",
        Range(1, 1e5),
        int,
    )
    checks_orders: str = _question(
        "Do its backend servers check who gives them an order?",
        OneOf(YES_OR_NO),
        default="no",
    )
    base_model: str = _question("Model engines only: the base model.", default="")
    slots: int = _question(
        "Model engines only: adapters that one engine holds at once.",
        Range(0, 1e5),
        int,
        0,
    )
    fencing: str = _question(
        "Model engines only: are orders with an old fencing number refused (checked)?",
        _values_of(Fencing),
        default=Fencing.IGNORED.value,
    )

    def find_mistakes(self):
        """Return (key, text) of each answer that does not fit the kind."""
        if self.kind == BackendKind.MODEL_ENGINE.value:
            required = (("base_model", self.base_model), ("slots", self.slots))
            return [(key, "must be set") for key, value in required if not value]
        if self.kind is None:
            return []
        forbidden = (
            ("base_model", self.base_model),
            ("slots", self.slots),
            ("fencing", self.fencing != Fencing.IGNORED.value),
        )
        return [(key, "is for model engines only") for key, value in forbidden if value]

    def as_policy(self, name, operations):
        """Return the ServicePolicy."""
        return ServicePolicy(
            name=name,
            kind=BackendKind(self.kind) if self.kind else None,
            operations=operations,
            replica_count=self.replicas,
            concurrency_max=self.concurrency,
            base_model=self.base_model,
            slot_count=self.slots,
            fencing=Fencing(self.fencing),
            checks_orders=self.checks_orders == "yes",
        )

    @classmethod
    def from_policy(cls, policy):
        """Return the section of a ServicePolicy."""
        return cls(
            kind=policy.kind.value,
            replicas=policy.replica_count,
            concurrency=policy.concurrency_max,
            checks_orders="yes" if policy.checks_orders else "no",
            base_model=policy.base_model,
            slots=policy.slot_count,
            fencing=policy.fencing.value,
        )


@attrs.frozen
class OperationSection(Section):
    """Section ``[operation SERVICE NAME]``; the first that matches a call applies."""

    method: str = _question("HTTP method.", OneOf(HTTP_METHODS))
    path: str = _question(
        "HTTP path; a trailing * matches any rest.",
        AllowedText("a path that begins with / and has * at its end only"),
        _parse_path,
    )
    idempotent: str = _question("May a call be repeated?", OneOf(YES_OR_NO))
    urgency: str = _question("How urgent it is.", _values_of(Urgency))

    def as_policy(self, name):
        """Return the OperationPolicy."""
        return OperationPolicy(
            name=name,
            method=self.method,
            path=self.path,
            idempotent=self.idempotent == "yes",
            urgency=Urgency(self.urgency) if self.urgency else None,
        )

    @classmethod
    def from_policy(cls, policy):
        """Return the section of an OperationPolicy."""
        return cls(
            method=policy.method,
            path=policy.path,
            idempotent="yes" if policy.idempotent else "no",
            urgency=policy.urgency.value,
        )


def parse_policy_section(parser, section, section_class, mistakes):
    """Return the parsed section of a ConfigParser.

    Invalid values and keys that must be set but are not are appended to `mistakes`.
    """
    pairs = parser[section] if parser.has_section(section) else {}
    previous_count = len(mistakes)
    answers = parse_section(section_class, section, pairs, mistakes)
    invalid_keys = {mistake.key for mistake in mistakes[previous_count:]}
    for field in attrs.fields(section_class):
        is_missing = getattr(answers, field.name) in (None, "")
        if is_missing and field.default is None and field.name not in invalid_keys:
            mistakes.append(Mistake(section, field.name, "must be set"))
    return answers


def describe_shadowing(operation, earlier):
    """Describe which of `earlier` matches all calls of `operation`; "" if none does.

    `operation` would then never be used, because the first match applies.

    Parameters
    ----------
    operation : OperationPolicy
    earlier : sequence of OperationPolicy
    """
    for other in earlier:
        if _matches_all_of(other, operation):
            return f"no call reaches it: operation {other.name!r} above takes them all"
    return ""


def _matches_all_of(first, second):
    """Return whether operation `first` matches all calls that `second` matches."""
    if first.method != second.method:
        return False
    if not first.path.endswith("*"):
        return first.path == second.path
    return second.path.removesuffix("*").startswith(first.path[:-1])


def parse_adapter(name, service, text):
    """Return the AdapterPolicy of one line, or a str that says what is invalid."""
    clauses = [_split_clause(clause) for clause in text.split(";")]
    parts = dict(clauses)
    if len(parts) < len(clauses):
        return f"{text!r} is not like: {ADAPTER_SYNTAX}"
    versions = tuple(word.strip() for word in parts.pop("versions", "").split(","))
    current = parts.pop("current", versions[-1])
    urgency = parts.pop("urgency", None)
    if parts or not all(versions) or len(set(versions)) < len(versions):
        return f"{text!r} is not like: {ADAPTER_SYNTAX}"
    if not all(VERSION_PATTERN.fullmatch(version) for version in versions):
        return "a version may hold letters, digits, '.', '_' and '-' only"
    if current not in versions:
        return f"current {current!r} is not one of its versions"
    if urgency is None:
        return AdapterPolicy(name, service, versions, current)
    if urgency not in _values_of(Urgency).choices:
        return f"urgency {urgency!r} is not {_values_of(Urgency)}"
    return AdapterPolicy(name, service, versions, current, Urgency(urgency))


def _split_clause(clause):
    word, _, rest = clause.strip().partition(" ")
    return word, rest.strip()


def format_adapter(policy):
    """Return the line of an AdapterPolicy that `parse_adapter` reads."""
    text = f"versions {', '.join(policy.versions)}; current {policy.current}"
    if policy.urgency is None:
        return text
    return f"{text}; urgency {policy.urgency.value}"
