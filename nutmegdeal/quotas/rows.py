"""Encoding of the rows with the buckets of tenants, and where they are."""

import hashlib
import json
import math

from nutmegdeal.quotas.bucket import Participant, QuotaRecord

QUOTAS_TABLE = "quotas"
BUCKET_KEY = "bucket"
# A tenant's name may be too long for the name of a part.
_PART_DIGEST_BYTES = 16
_PART_PREFIX = "quota-"


def locate_cell(tenant_name, cell):
    """Return the part of the store that holds a cell of a tenant's bucket (str).

    Each cell has a part of its own, as the transactions of a part are executed one
    after the other.

    Parameters
    ----------
    tenant_name : str
    cell : int
        Number of the cell.
    """
    digest = hashlib.blake2b(tenant_name.encode(), digest_size=_PART_DIGEST_BYTES)
    return f"{_PART_PREFIX}{digest.hexdigest()}-{cell}"


def encode_record(record):
    """Return the value (bytes) of a row with a QuotaRecord."""
    data = {
        "rate_per_s": record.rate_per_s,
        "burst": record.burst,
        "configuration_version": record.configuration_version,
        "level": round(record.level, 3),
        "level_ms": round(record.level_ms, 3),
        "era": record.era,
        # Lists, as a row has a bounded size.
        "participants": {
            name: [
                round(item.written_ms, 3),
                round(item.held, 1),
                round(item.demand_per_s, 1),
                round(item.silent_per_s, 3),
            ]
            for name, item in record.participants.items()
        },
    }
    return json.dumps(data, separators=(",", ":")).encode()


def decode_record(value):
    """Return the QuotaRecord in a row.

    Raises
    ------
    KeyError, TypeError, ValueError, AttributeError
        If it is not one.
    """
    data = json.loads(value)
    rate_per_s = _decode_number(data["rate_per_s"])
    if not rate_per_s > 0:
        raise ValueError(f"not a rate: {rate_per_s}")
    return QuotaRecord(
        rate_per_s=rate_per_s,
        burst=_decode_number(data["burst"]),
        configuration_version=int(data["configuration_version"]),
        level=_decode_number(data["level"]),
        level_ms=_decode_number(data["level_ms"]),
        era=int(data["era"]),
        participants={
            str(name): Participant(*map(_decode_number, values))
            for name, values in data["participants"].items()
        },
    )


def _decode_number(value):
    number = float(value)
    if not math.isfinite(number):
        raise ValueError(f"not a finite number: {number}")
    return number
