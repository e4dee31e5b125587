"""Records of the faults that were injected, for the checks of the rules."""

import attrs

# Kinds of faults that the checks treat apart.
ADAPTER_VERSIONS_KIND = "adapter_versions"
CONFIGURATION_KIND = "configuration"
CRASHING_PROMPTS_KIND = "crashing_prompts"
CRASHING_REQUESTS_KIND = "crashing_requests"
ENDLESS_ANSWERS_KIND = "endless_answers"
FAULTY_SERVERS_KIND = "faulty_servers"
LIMITS_KIND = "limits"
SOFTWARE_VERSIONS_KIND = "software_versions"
SILENCE_KIND = "silence"
STORE_LINK_KIND = "store_link"
SUSPENDED_SERVERS_KIND = "suspended_servers"
SUSPENSION_KIND = "suspension"
TENANTS_KIND = "tenants"


@attrs.frozen
class FaultRecord:
    """One fault or planned change; times are of the monotonic clock.

    Parameters
    ----------
    kind, target : str
    started_s, ended_s : float
    is_planned : bool
        True for planned work and for the silence of a sound server, which must not
        cut any request off.
    """

    kind: str
    target: str
    started_s: float
    ended_s: float
    is_planned: bool
