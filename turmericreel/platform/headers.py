"""Names of HTTP headers on the platform."""

from turmericreel.gateway.header_names import HeaderNames

PLATFORM_HEADERS = HeaderNames(
    attempt_id="Turmericreel-Attempt-Id",
    signature="Turmericreel-Backend-Signature",
    deadline_ms="Turmericreel-Deadline-Ms",
    key="Turmericreel-Key",
    account="Turmericreel-Tenant",
    expected_server="Turmericreel-Expect-Instance",
    server_id="Turmericreel-Instance-Id",
    not_run="Turmericreel-Not-Executed",
    leaving="Server-Leaving",
    rate_limit="Server-Limit",
    brittle="Server-Brittle",
    cold_ms="Turmericreel-Warmup-Ms",
    load="Turmericreel-Backend-Load",
    model="Turmericreel-Model",
    confidence="Turmericreel-Confidence",
    priority="Turmericreel-Request-Priority",
    token_counts="Turmericreel-Token-Count",
    prompt_parts="Turmericreel-Prefix-Hash",
    session="Session",
    reserved=(
        "Turmericreel-Expect-Version",
        "Turmericreel-Retain",
        "Turmericreel-Pin-Ms",
        "Turmericreel-Kv-Backup",
        "Kv-From",
        "Kv-Fetch",
    ),
)
