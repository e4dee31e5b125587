"""Models of the two teams whose traffic and fleet are simulated."""

import attrs

from nutmegdeal.configuration import (
    AdapterPolicy,
    Configuration,
    OperationPolicy,
    ServicePolicy,
    WeightStorePolicy,
)
from nutmegdeal.messages import BackendKind, Urgency

ADAPTER_COUNT = 3_000
SLOT_COUNT = 8
BATCH_SIZE = 16
TOKEN_MS = 20.0
VERSION = "1"
COMPLETION_PATH = "/v1/completions"


@attrs.frozen
class ClassShare:
    """Share of one urgency class in the requests of a team.

    Parameters
    ----------
    urgency : Urgency
    fraction : float
    answer_within_ms : float
        Time from the arrival of a request to its deadline.
    """

    urgency: Urgency
    fraction: float
    answer_within_ms: float


@attrs.frozen
class Team:
    """Fleet, policy and traffic of a team.

    Parameters
    ----------
    name, service : str
    zones : tuple of str
    engine_count : int
    loads_per_s : float
    stall_weight : float
    rate_per_s : float
        Default request rate.
    classes : tuple of ClassShare
    """

    name: str
    service: str
    zones: tuple[str, ...]
    engine_count: int
    loads_per_s: float
    stall_weight: float
    rate_per_s: float
    classes: tuple[ClassShare, ...]

    def build_configuration(self):
        """Return the team's Configuration."""
        operation = OperationPolicy(
            "completions", "POST", COMPLETION_PATH, True, Urgency.NORMAL
        )
        service = ServicePolicy(
            name=self.service,
            kind=BackendKind.MODEL_ENGINE,
            operations=(operation,),
            replica_count=self.engine_count,
            concurrency_max=BATCH_SIZE,
            base_model="base",
            slot_count=SLOT_COUNT,
        )
        names = [adapter_name(number) for number in range(ADAPTER_COUNT)]
        return Configuration(
            generation=1,
            team=self.name,
            region=self.zones[0].rpartition("-")[0],
            zones=self.zones,
            stall_weight=self.stall_weight,
            weight_store=WeightStorePolicy(self.loads_per_s),
            services={self.service: service},
            adapters={
                name: AdapterPolicy(name, self.service, (VERSION,), VERSION)
                for name in names
            },
        )


def adapter_name(number):
    """Return the name of the adapter with a number."""
    return f"adapter-{number:04}"


KNUSEPOOL = Team(
    name="knusepool",
    service="assist-llm",
    zones=("dk-west-1", "dk-west-2", "dk-west-3"),
    engine_count=6,
    loads_per_s=4.0,
    stall_weight=0.8,
    rate_per_s=10.0,
    classes=(
        ClassShare(Urgency.URGENT, 0.6, 10_000.0),
        ClassShare(Urgency.NORMAL, 0.3, 30_000.0),
        ClassShare(Urgency.BULK, 0.1, 600_000.0),
    ),
)
CASCADIA = Team(
    name="cascadia",
    service="care-llm",
    zones=("pnw-1", "pnw-2", "pnw-3"),
    engine_count=9,
    loads_per_s=6.0,
    stall_weight=0.3,
    rate_per_s=15.0,
    classes=(
        ClassShare(Urgency.URGENT, 0.5, 10_000.0),
        ClassShare(Urgency.NORMAL, 0.3, 30_000.0),
        ClassShare(Urgency.BULK, 0.2, 600_000.0),
    ),
)
TEAMS = {team.name: team for team in (KNUSEPOOL, CASCADIA)}
