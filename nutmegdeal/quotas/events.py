"""The log events of quotas."""

from nutmegdeal.log_fields import (
    Field,
    LogEvent,
    Process,
    count_field,
    text_field,
)

_TENANT = text_field("name of the tenant")

QUOTA_EVENTS = (
    LogEvent(
        "quota_exceeded",
        Process.GATEWAY,
        "request beyond its tenant's quota, at most once a second for each tenant",
        {
            "tenant": _TENANT,
            "rate_per_s": Field((float, int), "limit in force, in the quota's unit"),
            "demand_per_s": Field(
                (float, int), "what its callers ask for at this gateway"
            ),
            "share_per_s": Field(
                (float, int), "part of the limit that is due to them by their demand"
            ),
            "gateways": count_field("gateways that take from the tenant's bucket"),
            "configuration": count_field("version of the configuration in use"),
        },
    ),
    LogEvent(
        "quota_tranche_refused",
        Process.GATEWAY,
        "fetch of tokens that found too few in the bucket, at most once a second for "
        "each tenant",
        {
            "tenant": _TENANT,
            "bucket_tokens": Field((float, int), "tokens in the bucket"),
            "waiting": count_field("requests that waited for tokens"),
        },
    ),
    LogEvent(
        "quota_demand_unread",
        Process.GATEWAY,
        "the store took or returned no rows of the demand for quotas",
        {"failure": text_field("description of the failure")},
    ),
    LogEvent(
        "quota_fetch_crashed",
        Process.GATEWAY,
        "unexpected error in a fetch of tokens",
        {"tenant": _TENANT, "exception": text_field("traceback")},
    ),
)
