"""Clients of the platform's services that an agent uses."""

import attrs

from nutmegdeal.accounts import SegmentRecorder
from nutmegdeal.generations import ConfigurationTracker, StoredConfigurationTracker
from nutmegdeal.ledger import Ledger, TableLedger
from nutmegdeal.services.grouping import GroupCommitTable
from nutmegdeal.services.hosts import HostList, HttpHostList
from nutmegdeal.services.objects import HttpObjectStore
from nutmegdeal.services.table import HttpTableService, TableService


@attrs.frozen
class PlatformClients:
    """Clients of the platform's services.

    Parameters
    ----------
    table : TableService
    hosts : HostList
    configuration_tracker : ConfigurationTracker
    ledger : Ledger
    recorder : SegmentRecorder
    """

    table: TableService
    hosts: HostList
    configuration_tracker: ConfigurationTracker
    ledger: Ledger
    recorder: SegmentRecorder


def connect_platform(settings, incarnation, clock):
    """Return the PlatformClients of an agent's Settings."""
    within_ms = settings.platform.call_within_ms
    table = HttpTableService(settings.platform.table_url, within_ms)
    objects = HttpObjectStore(settings.platform.objects_url, within_ms)
    return PlatformClients(
        table=table,
        hosts=HttpHostList(settings.platform.hosts_url, within_ms),
        configuration_tracker=StoredConfigurationTracker(table, objects, clock),
        ledger=TableLedger(GroupCommitTable(table), clock),
        recorder=SegmentRecorder(
            objects, settings.process.name, incarnation, clock, settings.accounts
        ),
    )
