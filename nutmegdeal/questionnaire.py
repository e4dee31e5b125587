"""A team's answers, from which its configuration is generated."""

import re

import attrs

from nutmegdeal import settings
from nutmegdeal.configuration import (
    AdapterPolicy,
    Configuration,
    ServicePolicy,
    WeightStorePolicy,
)
from nutmegdeal.policy_sections import (
    ADAPTER_SYNTAX,
    OperationSection,
    ServiceSection,
    TeamSection,
    WeightStoreSection,
    describe_shadowing,
    format_answer,
    parse_adapter,
    parse_policy_section,
)
from nutmegdeal.settings import InvalidFile, Mistake

ADAPTERS_MAX = 200_000
RANGE_PATTERN = re.compile(
    r"(?P<before>[a-z][a-z0-9._-]*)\[(?P<low>\d+)-(?P<high>\d+)\](?P<after>[a-z0-9._-]*)"
)
NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9._-]*")
NAME_CHARACTERS = "lower-case letters, digits, '.', '_' and '-'"


@attrs.frozen
class AdapterRange:
    """Adapters whose names differ only in a number.

    Parameters
    ----------
    before, after : str
        Parts of each name around the number.
    low, high : int
        First and last number.
    digit_count : int
        Width to which numbers are padded with zeros; 0 for one adapter that has no
        number.
    policy : AdapterPolicy
        Policy of each adapter; its name here is the key in the file.
    """

    before: str
    after: str
    low: int
    high: int
    digit_count: int
    policy: AdapterPolicy

    @property
    def count(self):
        """Number of adapters."""
        return self.high - self.low + 1

    def adapters(self):
        """Yield the AdapterPolicy of each adapter, in order."""
        if not self.digit_count:
            yield self.policy
            return
        for number in range(self.low, self.high + 1):
            name = f"{self.before}{number:0{self.digit_count}}{self.after}"
            yield attrs.evolve(self.policy, name=name)


@attrs.frozen
class Questionnaire:
    """Validated answers of one team.

    Parameters
    ----------
    team, region : str
    zones : tuple of str
    stall_weight : float
    weight_store : WeightStorePolicy
    services : tuple of ServicePolicy
    adapters : tuple of AdapterRange
    """

    team: str
    region: str
    zones: tuple[str, ...]
    stall_weight: float
    weight_store: WeightStorePolicy
    services: tuple[ServicePolicy, ...]
    adapters: tuple[AdapterRange, ...]


def load(path):
    """Read and check the questionnaire at `path`.

    Returns
    -------
    Questionnaire or InvalidFile
        An InvalidFile lists all mistakes.
    """
    parser = settings.read_ini(path)
    if isinstance(parser, InvalidFile):
        return parser
    reader = _Reader(parser)
    questionnaire = reader.read()
    if reader.mistakes:
        return InvalidFile(str(path), tuple(reader.mistakes))
    return questionnaire


def generate(questionnaire):
    """Return the Configuration of a Questionnaire, with generation 0."""
    services = sorted(questionnaire.services, key=lambda service: service.name)
    adapters = sorted(
        (
            policy
            for adapter_range in questionnaire.adapters
            for policy in adapter_range.adapters()
        ),
        key=lambda policy: policy.name,
    )
    return Configuration(
        generation=0,
        team=questionnaire.team,
        region=questionnaire.region,
        zones=questionnaire.zones,
        stall_weight=questionnaire.stall_weight,
        weight_store=questionnaire.weight_store,
        services={service.name: service for service in services},
        adapters={policy.name: policy for policy in adapters},
    )


def template():
    """Return a commented questionnaire to fill in (str)."""
    blocks = [TEMPLATE_HEADER]
    for heading, section_class in TEMPLATE_SECTIONS:
        lines = [f"[{heading}]"]
        for field in attrs.fields(section_class):
            lines.append(f"# {field.metadata['text']}")
            lines.append(f"# Allowed: {field.metadata['allowed']}.")
            default = "" if field.default is None else format_answer(field.default)
            lines.append(f"{field.name} = {default}".rstrip())
        blocks.append("\n".join(lines))
    blocks.append(TEMPLATE_ADAPTERS)
    return "\n\n".join(blocks) + "\n"


class _Reader:
    """Reads the sections of one file and collects the mistakes."""

    def __init__(self, parser):
        self.mistakes = []
        self._parser = parser

    def read(self):
        """Return a Questionnaire, which is valid only if there are no mistakes."""
        self._check_sections()
        team = parse_policy_section(self._parser, "team", TeamSection, self.mistakes)
        store = parse_policy_section(
            self._parser, "weight_store", WeightStoreSection, self.mistakes
        )
        self._check_name("team", "name", team.name)
        for zone in team.zones or ():
            self._check_name("team", "zones", zone)
        services = self._read_services()
        adapters = self._read_adapters({service.name: service for service in services})
        return Questionnaire(
            team=team.name,
            region=team.region,
            zones=team.zones,
            stall_weight=team.stall_weight,
            weight_store=store.as_policy(),
            services=services,
            adapters=adapters,
        )

    def _add_mistake(self, section, key, text):
        self.mistakes.append(Mistake(section, key, text))

    def _check_name(self, section, key, name):
        if name and not NAME_PATTERN.fullmatch(name):
            self._add_mistake(section, key, f"{name!r} may only hold {NAME_CHARACTERS}")

    def _check_sections(self):
        if self._parser.defaults():
            self._add_mistake(
                "DEFAULT", "", "not allowed: give each section its own keys"
            )
        for section in self._parser.sections():
            words = section.split()
            if len(words) != HEADING_WORD_COUNTS.get(words[0] if words else "", 0):
                self._add_mistake(
                    section, "", f"unknown section; allowed: {SECTIONS_ALLOWED}"
                )

    def _find_sections(self, word):
        for section in self._parser.sections():
            words = section.split()
            if len(words) == HEADING_WORD_COUNTS[word] and words[0] == word:
                yield section, words[1:]

    def _read_services(self):
        services = []
        for section, (name,) in self._find_sections("service"):
            self._check_name(section, "", name)
            answers = parse_policy_section(
                self._parser, section, ServiceSection, self.mistakes
            )
            for key, text in answers.find_mistakes():
                self._add_mistake(section, key, text)
            operations = self._read_operations(name)
            if not operations:
                self._add_mistake(
                    section, "", f"needs a section [operation {name} ...]"
                )
            services.append(answers.as_policy(name, operations))
        if not services:
            self._add_mistake(
                "service ...", "", "at least one service must be described"
            )
        names = {service.name for service in services}
        for section, words in (
            *self._find_sections("operation"),
            *self._find_sections("adapters"),
        ):
            if words[0] not in names:
                self._add_mistake(
                    section, "", f"there is no section [service {words[0]}]"
                )
        return tuple(services)

    def _read_operations(self, service):
        operations = []
        for section, (owner, name) in self._find_sections("operation"):
            if owner != service:
                continue
            self._check_name(section, "", name)
            answers = parse_policy_section(
                self._parser, section, OperationSection, self.mistakes
            )
            operation = answers.as_policy(name)
            if answers.is_complete:
                self._check_reachable(section, operation, operations)
            operations.append(operation)
        return tuple(operations)

    def _check_reachable(self, section, operation, earlier):
        text = describe_shadowing(operation, earlier)
        if text:
            self._add_mistake(section, "path", text)

    def _read_adapters(self, services):
        ranges = []
        for section, (service,) in self._find_sections("adapters"):
            if service in services and not services[service].slot_count:
                self._add_mistake(section, "", f"{service!r} is a plain service")
            for key, text in self._parser[section].items():
                adapter_range = self._read_adapter(section, service, key, text)
                if adapter_range is not None:
                    ranges.append((section, adapter_range))
        total = sum(adapter_range.count for _, adapter_range in ranges)
        if total > ADAPTERS_MAX:
            self._add_mistake(
                "adapters ...", "", f"{total} adapters; at most {ADAPTERS_MAX}"
            )
        else:
            self._check_unique(ranges)
        return tuple(adapter_range for _, adapter_range in ranges)

    def _read_adapter(self, section, service, key, text):
        policy = parse_adapter(key, service, text)
        if isinstance(policy, str):
            self._add_mistake(section, key, policy)
            return None
        match = RANGE_PATTERN.fullmatch(key)
        if match is None:
            self._check_name(section, key, key)
            return AdapterRange(key, "", 0, 0, 0, policy)
        low, high = int(match["low"]), int(match["high"])
        if low > high:
            self._add_mistake(section, key, "the range is empty")
            return None
        digits = len(match["low"])
        return AdapterRange(match["before"], match["after"], low, high, digits, policy)

    def _check_unique(self, ranges):
        first_keys = {}
        for section, adapter_range in ranges:
            for adapter in adapter_range.adapters():
                first_key = first_keys.setdefault(
                    adapter.name, adapter_range.policy.name
                )
                if first_key != adapter_range.policy.name:
                    text = f"{adapter.name!r} is also named by {first_key!r}"
                    self._add_mistake(section, adapter_range.policy.name, text)
                    break


HEADING_WORD_COUNTS = {
    "team": 1,
    "weight_store": 1,
    "service": 2,
    "operation": 3,
    "adapters": 2,
}
TEMPLATE_HEADER = """\
# Questionnaire of one team. Replace NAME, SERVICE and OPERATION in the headings and
# repeat the sections as needed. Check it with: nutmegdeal-ctl questionnaire check"""
TEMPLATE_SECTIONS = (
    ("team", TeamSection),
    ("weight_store", WeightStoreSection),
    ("service SERVICE", ServiceSection),
    ("operation SERVICE OPERATION", OperationSection),
)
TEMPLATE_ADAPTERS = f"""\
[adapters SERVICE]
# One adapter a line: NAME = {ADAPTER_SYNTAX}
# A range stands for many: quote-[0000-1499] = versions 1, 2; current 2"""
SECTIONS_ALLOWED = (
    "[team], [weight_store], [service NAME], [operation SERVICE NAME], "
    "[adapters SERVICE]"
)
