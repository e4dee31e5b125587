"""Hypothesis settings of the tests that run state machines."""

from hypothesis import HealthCheck, Phase, settings

EXAMPLES_MIN = 300

STATE_MACHINE_SETTINGS = settings(
    max_examples=max(settings().max_examples, EXAMPLES_MIN),
    stateful_step_count=50,
    suppress_health_check=list(HealthCheck),
)


def faulty_version_settings(example_count):
    """Return the settings under which a deliberately faulty version must fail."""
    return settings(
        STATE_MACHINE_SETTINGS,
        max_examples=example_count,
        phases=[Phase.generate],
        report_multiple_bugs=False,
        derandomize=True,
    )
