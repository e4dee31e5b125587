"""Content of ``/status``; it holds no data of individual requests."""

import attrs


@attrs.frozen
class LinkStatus:
    """State of one agent with an open stream."""

    host_id: str
    service: str
    zone: str
    in_flight_count: int
    generation: int = 0
    leaving: bool = False
    queued_count: int = 0
    running_count: int = 0
    queue_wait_ms: float = 0.0
    load_wait_ms: float = 0.0
    resident: tuple[str, ...] = ()


@attrs.frozen
class EntryStatus:
    """State of an entry."""

    role: str
    process: str
    incarnation: str
    zone: str
    generation: int
    is_confirmed: bool
    is_ready: bool
    is_draining: bool
    host_count: int
    in_flight_count: int
    refused_count: int
    links: tuple[LinkStatus, ...]


def describe_status(blackboard, components):
    """Return the current EntryStatus."""
    return EntryStatus(
        role="entry",
        process=blackboard.entry_id,
        incarnation=blackboard.incarnation,
        zone=blackboard.settings.process.zone,
        generation=blackboard.generation,
        is_confirmed=blackboard.configuration_tracker.is_confirmed,
        is_ready=blackboard.is_ready,
        is_draining=blackboard.is_draining,
        host_count=len(blackboard.hosts),
        in_flight_count=components.admission_limiter.in_flight_count,
        refused_count=components.admission_limiter.refused_count,
        links=tuple(map(_describe_link, components.links.open_links)),
    )


def _describe_link(link):
    host = link.host
    status = LinkStatus(host.host_id, host.service, host.zone, len(link.inboxes))
    if link.report is None:
        return status
    report = link.report
    return attrs.evolve(
        status,
        generation=report.generation,
        leaving=report.leaving,
        queued_count=report.queued_count,
        running_count=report.running_count,
        queue_wait_ms=report.queue_wait_ms,
        load_wait_ms=report.load_wait_ms,
        resident=report.resident,
    )
