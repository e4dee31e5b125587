"""Configurations as INI text, and the differences between two of them."""

import configparser

import attrs

from nutmegdeal.configuration import Configuration
from nutmegdeal.policy_sections import (
    OperationSection,
    ServiceSection,
    TeamSection,
    WeightStoreSection,
    describe_shadowing,
    format_adapter,
    parse_adapter,
    parse_policy_section,
)
from nutmegdeal.settings import InvalidFile, Mistake

CONFIGURATION_SECTION = "configuration"
KNOWN_SECTIONS = (
    CONFIGURATION_SECTION,
    "team",
    "weight_store",
    "service",
    "operation",
    "adapters",
)


def format_configuration(configuration):
    """Return a Configuration as INI text; equal configurations give equal text."""
    sections = [
        (CONFIGURATION_SECTION, [("generation", str(configuration.generation))])
    ]
    sections += policy_to_sections(configuration)
    sections += adapters_to_sections(configuration.adapters.values())
    return join_sections(sections)


def parse_configuration(text):
    """Return the Configuration of INI text.

    Returns
    -------
    Configuration or InvalidFile
    """
    parser = parse_text(text)
    if isinstance(parser, InvalidFile):
        return parser
    mistakes = [
        Mistake(section, "", "unknown section")
        for section in parser.sections()
        if section.partition(" ")[0] not in KNOWN_SECTIONS
    ]
    configuration = read_policy(parser, mistakes)
    adapters = read_adapters(parser, mistakes)
    for adapter in adapters:
        if adapter.service not in configuration.services:
            mistakes.append(_unknown_service(adapter))
    generation = _read_generation(parser, mistakes)
    if mistakes:
        return InvalidFile("configuration", tuple(mistakes))
    return attrs.evolve(
        configuration,
        generation=generation,
        adapters={adapter.name: adapter for adapter in adapters},
    )


def policy_to_sections(configuration):
    """Return (heading, pairs) of a Configuration's sections other than adapters."""
    team = TeamSection(
        name=configuration.team,
        region=configuration.region,
        zones=configuration.zones,
        stall_weight=configuration.stall_weight,
    )
    store = WeightStoreSection(**attrs.asdict(configuration.weight_store))
    sections = [("team", team.pairs()), ("weight_store", store.pairs())]
    for name in sorted(configuration.services):
        service = configuration.services[name]
        section = ServiceSection.from_policy(service)
        sections.append((f"service {name}", section.pairs()))
        for operation in service.operations:
            section = OperationSection.from_policy(operation)
            sections.append((f"operation {name} {operation.name}", section.pairs()))
    return sections


def adapters_to_sections(adapters):
    """Return (heading, pairs) of the sections of AdapterPolicy objects."""
    by_service = {}
    for adapter in sorted(adapters, key=lambda adapter: adapter.name):
        pairs = by_service.setdefault(adapter.service, [])
        pairs.append((adapter.name, format_adapter(adapter)))
    return [
        (f"adapters {service}", by_service[service]) for service in sorted(by_service)
    ]


def join_sections(sections):
    """Return the INI text of (heading, pairs)."""
    blocks = []
    for heading, pairs in sections:
        lines = [f"{key} = {text}".rstrip() for key, text in pairs]
        blocks.append("\n".join([f"[{heading}]", *lines]) + "\n")
    return "\n".join(blocks)


def parse_text(text):
    """Return a ConfigParser of INI text, or an InvalidFile."""
    parser = configparser.ConfigParser(interpolation=None, delimiters=("=",))
    parser.optionxform = str
    try:
        parser.read_string(text)
    except configparser.Error as error:
        return InvalidFile("configuration", (Mistake("", "", str(error)),))
    return parser


def read_policy(parser, mistakes):
    """Return a Configuration without adapters; append what is invalid to `mistakes`."""
    team = parse_policy_section(parser, "team", TeamSection, mistakes)
    store = parse_policy_section(parser, "weight_store", WeightStoreSection, mistakes)
    services = {}
    for name in _names_in_headings(parser, "service"):
        section = parse_policy_section(
            parser, f"service {name}", ServiceSection, mistakes
        )
        operations = _read_operations(parser, name, mistakes)
        services[name] = section.as_policy(name, operations)
    return Configuration(
        generation=0,
        team=team.name,
        region=team.region,
        zones=team.zones,
        stall_weight=team.stall_weight,
        weight_store=store.as_policy(),
        services=services,
        adapters={},
    )


def _names_in_headings(parser, word):
    """Return the rest of each heading that begins with `word` and a space."""
    prefix = word + " "
    return [
        name[len(prefix) :] for name in parser.sections() if name.startswith(prefix)
    ]


def _read_operations(parser, service, mistakes):
    operations = []
    for name in _names_in_headings(parser, f"operation {service}"):
        heading = f"operation {service} {name}"
        section = parse_policy_section(parser, heading, OperationSection, mistakes)
        operation = section.as_policy(name)
        shadowing_text = (
            describe_shadowing(operation, operations) if section.is_complete else ""
        )
        if shadowing_text:
            mistakes.append(Mistake(heading, "path", shadowing_text))
        operations.append(operation)
    return tuple(operations)


def read_adapters(parser, mistakes):
    """Return a list of AdapterPolicy; append what is invalid to `mistakes`."""
    adapters = []
    for service in _names_in_headings(parser, "adapters"):
        heading = f"adapters {service}"
        for name, text in parser[heading].items():
            adapter = parse_adapter(name, service, text)
            if isinstance(adapter, str):
                mistakes.append(Mistake(heading, name, adapter))
            else:
                adapters.append(adapter)
    return sorted(adapters, key=lambda adapter: adapter.name)


def _unknown_service(adapter):
    text = f"there is no section [service {adapter.service}]"
    return Mistake(f"adapters {adapter.service}", adapter.name, text)


def _read_generation(parser, mistakes):
    text = parser.get(CONFIGURATION_SECTION, "generation", fallback="")
    if text.isdecimal():
        return int(text)
    mistakes.append(
        Mistake(CONFIGURATION_SECTION, "generation", f"{text!r} is not a number")
    )
    return 0


def describe_changes(old, new):
    """Describe each difference between two configurations in one sentence.

    Parameters
    ----------
    old, new : Configuration

    Returns
    -------
    tuple of str
    """
    changes = []
    for field in ("team", "region", "zones", "stall_weight", "weight_store"):
        before, after = getattr(old, field), getattr(new, field)
        if before != after:
            changes.append(
                f"{field}: {_format_value(before)} -> {_format_value(after)}"
            )
    changes += _describe_items("service", old.services, new.services, _format_service)
    changes += _describe_items("adapter", old.adapters, new.adapters, format_adapter)
    return tuple(changes)


def _describe_items(noun, old, new, format_item):
    for name in sorted(old.keys() | new.keys()):
        if name not in new:
            yield f"{noun} {name}: removed"
        elif name not in old:
            yield f"{noun} {name}: added ({format_item(new[name])})"
        elif old[name] != new[name]:
            yield f"{noun} {name}: {format_item(old[name])} -> {format_item(new[name])}"


def _format_value(value):
    if attrs.has(type(value)):
        pairs = attrs.asdict(value, recurse=False).items()
        return ", ".join(f"{key} {_format_value(item)}" for key, item in pairs)
    if isinstance(value, tuple):
        return " ".join(map(str, value))
    return str(value)


def _format_service(service):
    sections = [ServiceSection.from_policy(service)]
    lines = [f"{key} {text}" for key, text in sections[0].pairs() if text]
    for operation in service.operations:
        pairs = OperationSection.from_policy(operation).pairs()
        text = " ".join(f"{key} {value}" for key, value in pairs)
        lines.append(f"operation {operation.name} {text}")
    return ", ".join(lines)
