"""Tests of the questionnaire and of what is generated from it."""

import pathlib

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from nutmegdeal import configuration_files, questionnaire
from nutmegdeal.configuration import AdapterPolicy, WeightStorePolicy
from nutmegdeal.messages import BackendKind, Urgency
from nutmegdeal.policy_sections import (
    OperationSection,
    ServiceSection,
    TeamSection,
    WeightStoreSection,
)
from nutmegdeal.settings import InvalidFile
from nutmegdeal.tests.builders import build_configuration

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
EXAMPLES = ROOT / "examples"
VALID_QUESTIONNAIRE = """
[team]
name = t
region = r
zones = z1, z2
stall_weight = 0.5
[weight_store]
loads_per_s = 4
[service engine]
kind = model_engine
base_model = m
replicas = 2
slots = 4
concurrency = 8
[operation engine completions]
method = POST
path = /v1/*
idempotent = yes
urgency = urgent
[adapters engine]
quote-[08-11] = versions 1, 2; current 2
"""


def load_text(tmp_path, text):
    path = tmp_path / "questionnaire.ini"
    path.write_text(text)
    return questionnaire.load(path)


@pytest.mark.parametrize(
    ("team", "engine", "replicas", "plain"),
    [("knusepool", "assist-llm", 6, "hire-core"), ("cascadia", "care-llm", 9, None)],
)
def test_examples_are_valid(team, engine, replicas, plain):
    answers = questionnaire.load(EXAMPLES / team / "questionnaire.ini")
    configuration = questionnaire.generate(answers)
    assert configuration.team == team
    assert len(configuration.adapters) == 3_000
    assert len(configuration.zones) == 3
    assert configuration.services[engine].replica_count == replicas
    assert configuration.services[plain or "booking-app"].replica_count == 3


def test_non_idempotent_operations_are_preserved():
    answers = questionnaire.load(EXAMPLES / "knusepool" / "questionnaire.ini")
    service = questionnaire.generate(answers).services["hire-core"]
    assert service.kind is BackendKind.PLAIN_SERVICE
    assert service.find_operation("GET", "/availability?day=1").idempotent
    assert not service.find_operation("POST", "/bookings").idempotent
    assert not service.find_operation("POST", "/deposits").idempotent


def test_ranges_keep_leading_zeros(tmp_path):
    configuration = questionnaire.generate(load_text(tmp_path, VALID_QUESTIONNAIRE))
    names = ["quote-08", "quote-09", "quote-10", "quote-11"]
    assert list(configuration.adapters) == names
    assert configuration.adapters["quote-10"].current == "2"


def test_generated_text_is_deterministic_and_round_trips(tmp_path):
    first = questionnaire.generate(load_text(tmp_path, VALID_QUESTIONNAIRE))
    text = configuration_files.format_configuration(first)
    again = questionnaire.generate(load_text(tmp_path, VALID_QUESTIONNAIRE))
    assert configuration_files.format_configuration(again) == text
    assert configuration_files.parse_configuration(text) == first


MISTAKES = [
    ("name = t", "name = T!", "team", "name"),
    ("name = t", "", "team", "name"),
    ("zones = z1, z2", "zones = z1, z1", "team", "zones"),
    ("stall_weight = 0.5", "stall_weight = 1.5", "team", "stall_weight"),
    ("loads_per_s = 4", "loads_per_s = nan", "weight_store", "loads_per_s"),
    ("slots = 4", "", "service engine", "slots"),
    ("kind = model_engine", "kind = engine", "service engine", "kind"),
    ("kind = model_engine", "kind = plain_service", "service engine", "base_model"),
    ("replicas = 2", "replicas = 0", "service engine", "replicas"),
    ("concurrency = 8", "speed = 8", "service engine", "speed"),
    ("path = /v1/*", "path = v1", "operation engine completions", "path"),
    ("idempotent = yes", "idempotent = maybe", "operation engine completions", None),
    ("[08-11]", "[11-08]", "adapters engine", "quote-[11-08]"),
    ("current 2", "current 3", "adapters engine", "quote-[08-11]"),
    ("versions 1, 2", "versions 1 2", "adapters engine", "quote-[08-11]"),
    ("[adapters engine]", "[adapters other]", "adapters other", ""),
    ("[team]", "[DEFAULT]\nx = 1\n[team]", "DEFAULT", ""),
    ("[team]", "[extra]\n[team]", "extra", ""),
]


@pytest.mark.parametrize(("old", "new", "section", "key"), MISTAKES)
def test_mistake_is_reported_with_its_location(tmp_path, old, new, section, key):
    assert old in VALID_QUESTIONNAIRE
    invalid = load_text(tmp_path, VALID_QUESTIONNAIRE.replace(old, new, 1))
    assert isinstance(invalid, InvalidFile)
    locations = {(mistake.section, mistake.key) for mistake in invalid.mistakes}
    key = "idempotent" if key is None else key
    assert (section, key) in locations


def test_all_mistakes_are_reported_together(tmp_path):
    text = VALID_QUESTIONNAIRE
    for old, new, _, _ in MISTAKES[2:5]:
        text = text.replace(old, new, 1)
    invalid = load_text(tmp_path, text)
    assert [mistake.key for mistake in invalid.mistakes] == [
        "zones",
        "stall_weight",
        "loads_per_s",
    ]


def test_non_idempotent_operation_shadowed_by_an_earlier_one_is_a_mistake(tmp_path):
    shadowed = """
[operation engine book]
method = POST
path = /v1/bookings
idempotent = no
urgency = urgent
"""
    invalid = load_text(tmp_path, VALID_QUESTIONNAIRE + shadowed)
    (mistake,) = invalid.mistakes
    assert mistake.section == "operation engine book"
    assert "'completions'" in mistake.text


def test_duplicate_adapter_is_a_mistake(tmp_path):
    invalid = load_text(
        tmp_path, VALID_QUESTIONNAIRE + "quote-09 = versions 1; current 1\n"
    )
    (mistake,) = invalid.mistakes
    assert mistake.key == "quote-09"


def test_huge_range_is_rejected_without_being_expanded(tmp_path):
    text = VALID_QUESTIONNAIRE.replace("[08-11]", "[0-99999999999]")
    assert isinstance(load_text(tmp_path, text), InvalidFile)


def test_multiline_value_cannot_add_a_section(tmp_path):
    text = VALID_QUESTIONNAIRE.replace("region = r", "region = r\n  [service evil]")
    invalid = load_text(tmp_path, text)
    assert [mistake.key for mistake in invalid.mistakes] == ["region"]


def test_template_contains_every_question():
    text = questionnaire.template()
    for section in (
        TeamSection,
        WeightStoreSection,
        ServiceSection,
        OperationSection,
    ):
        for field in section.__attrs_attrs__:
            assert f"\n{field.name} =" in text
            assert field.metadata["text"] in text


@given(
    stall_weight=st.floats(0, 1),
    load_ms=st.floats(0.1, 1e6),
    versions=st.lists(
        st.from_regex(r"[A-Za-z0-9._-]{1,6}", fullmatch=True),
        min_size=1,
        max_size=3,
        unique=True,
    ),
    urgency=st.none() | st.sampled_from(Urgency),
)
def test_configuration_text_round_trips(stall_weight, load_ms, versions, urgency):
    adapter = AdapterPolicy("a", "assist-llm", tuple(versions), versions[-1], urgency)
    configuration = attrs.evolve(
        build_configuration(),
        stall_weight=stall_weight,
        weight_store=WeightStorePolicy(4.0, load_ms=load_ms),
        adapters={"a": adapter},
    )
    text = configuration_files.format_configuration(configuration)
    assert configuration_files.parse_configuration(text) == configuration


def test_changes_are_described(tmp_path):
    old = questionnaire.generate(load_text(tmp_path, VALID_QUESTIONNAIRE))
    text = VALID_QUESTIONNAIRE.replace("0.5", "0.7").replace("[08-11]", "[08-10]")
    text = text.replace("idempotent = yes", "idempotent = no")
    new = questionnaire.generate(load_text(tmp_path, text))
    changes = configuration_files.describe_changes(old, new)
    assert changes[0] == "stall_weight: 0.5 -> 0.7"
    assert "idempotent yes" in changes[1]
    assert "idempotent no" in changes[1]
    assert changes[2] == "adapter quote-11: removed"


@pytest.mark.parametrize(
    ("old", "new", "section"),
    [
        ("[team]", "[extra]\n[team]", "extra"),
        ("generation = 0", "generation = x", "configuration"),
        ("[adapters engine]", "[adapters other]", "adapters other"),
        (
            "[adapters engine]",
            "[operation engine book]\nmethod = POST\npath = /v1/bookings\n"
            "idempotent = no\nurgency = urgent\n[adapters engine]",
            "operation engine book",
        ),
    ],
)
def test_mistake_in_an_edited_configuration_is_reported(tmp_path, old, new, section):
    text = configuration_files.format_configuration(
        questionnaire.generate(load_text(tmp_path, VALID_QUESTIONNAIRE))
    )
    assert old in text
    invalid = configuration_files.parse_configuration(text.replace(old, new, 1))
    assert isinstance(invalid, InvalidFile)
    assert section in {mistake.section for mistake in invalid.mistakes}
