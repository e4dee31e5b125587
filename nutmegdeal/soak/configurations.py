"""Configurations of the soak test's site, drawn within what its callers need."""

import json

import attrs

from nutmegdeal.fakes.platform_configuration import (
    ADAPTER_SLOTS,
    ENGINE_SERVICE,
    IDLE_MS,
    encode_configuration,
)

# timeout_ms of every route; the backend stand-ins take less than 0.5 s for a request.
# Callers give their requests this time, so routes never have less.
TIMEOUT_MS = 6_000
# Target latency of every route, and the target for the time between two events of a
# stream. With them, the gateways' timeouts for events are shorter than the silence of a
# sound server.
TARGET_MS = 400
GAP_TARGET_MS = 150
TIMEOUTS_MS = (TIMEOUT_MS, TIMEOUT_MS + 1_000, 5 * TIMEOUT_MS)
TARGETS_MS = (TARGET_MS // 2, TARGET_MS, 4 * TARGET_MS)
GAP_TARGETS_MS = (GAP_TARGET_MS // 3, GAP_TARGET_MS, 4 * GAP_TARGET_MS)
ATTEMPTS = (2, 2, 3)
# Weights of the parts of a split, which all are of the same service.
SPLITS = ((1.0,), (1.0, 1.0), (0.0, 2.5), (9.0, 0.0, 1.0))
ADAPTER_SLOT_COUNTS = (ADAPTER_SLOTS - 1, ADAPTER_SLOTS)
CONNECTION_COUNTS = (20, 100, 1_000)
# The requests of the callers have heads below 1 KB and no bodies, and are sent at once.
HEADER_BYTES = (2_048, 16_384, 65_536)
BODY_BYTES = (1_024, 4_194_304)
HEADER_TIMEOUTS_MS = (2_000, 5_000)
IDLE_TIMEOUTS_MS = (IDLE_MS // 4, IDLE_MS, 2 * IDLE_MS)


@attrs.frozen
class ConfigurationValues:
    """What a version of the configuration sets for all routes and services.

    Parameters
    ----------
    timeout_ms, target_ms, gap_target_ms : int
    attempts_max : int
    weights : tuple of float
        Of the parts of each route's split.
    adapter_slots, connections_max : int
    limits : dict
        Changed limits of callers, as in the operator's row.
    """

    timeout_ms: int = TIMEOUT_MS
    target_ms: int = TARGET_MS
    gap_target_ms: int = GAP_TARGET_MS
    attempts_max: int = 2
    weights: tuple[float, ...] = (1.0,)
    adapter_slots: int = ADAPTER_SLOTS
    connections_max: int = 100
    limits: dict = attrs.field(factory=dict)

    def encode(self, version, host, tenants=None):
        """Return the operator's row (bytes).

        Parameters
        ----------
        version : int
        host : str
        tenants : list of dict, optional
            As in the operator's row.
        """
        body = encode_configuration(
            version, host, self.timeout_ms, self.target_ms, self.gap_target_ms, tenants
        )
        data = json.loads(body)
        for route in data["routes"]:
            route["max_attempts"] = self.attempts_max
            route["traffic_split"] = [
                {"service": route["service"], "weight": weight}
                for weight in self.weights
            ]
        for service in data["services"]:
            service["max_connections"] = self.connections_max
            if service["name"] == ENGINE_SERVICE:
                service["engine"]["adapter_slots"] = self.adapter_slots
        data["limits"].update(self.limits)
        return json.dumps(data).encode()


def draw_values(random_state):
    """Return random ConfigurationValues with which every request can be served."""
    choose = random_state.choice
    return ConfigurationValues(
        timeout_ms=choose(TIMEOUTS_MS),
        target_ms=choose(TARGETS_MS),
        gap_target_ms=choose(GAP_TARGETS_MS),
        attempts_max=choose(ATTEMPTS),
        weights=choose(SPLITS),
        adapter_slots=choose(ADAPTER_SLOT_COUNTS),
        connections_max=choose(CONNECTION_COUNTS),
        limits={
            "max_header_bytes": choose(HEADER_BYTES),
            "max_body_bytes": choose(BODY_BYTES),
            "header_timeout_ms": choose(HEADER_TIMEOUTS_MS),
            "idle_timeout_ms": choose(IDLE_TIMEOUTS_MS),
        },
    )
