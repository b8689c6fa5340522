"""Names of HTTP headers in the exchange with callers and backend servers."""

SESSION = "Turmericreel-Session"
DEADLINE_MS = "Turmericreel-Deadline-Ms"
IDEMPOTENCY_KEY = "Idempotency-Key"
KEY_CREATED_MS = "Turmericreel-Key-Created-Ms"
KEY_EXPIRES_MS = "Turmericreel-Key-Expires-Ms"
REQUEST_ID = "Turmericreel-Request-Id"
ATTEMPT = "Turmericreel-Attempt"
VERSION = "Turmericreel-Version"
OUTCOME = "Turmericreel-Outcome"
PROOF = "Turmericreel-Proof"
REVISION = "Turmericreel-Revision"
FENCING_TOKEN = "Turmericreel-Fencing-Token"
PRIORITY = "Turmericreel-Priority"
RESUME_FROM = "Turmericreel-Resume-From"
REFUSED = "Turmericreel-Refused"
RATE_LIMIT = "Turmericreel-Rate-Limit"
BRITTLE = "Turmericreel-Brittle"

# Values of the outcome header.  A stream is complete only with its end marker.
COMPLETED = "Completed"
STREAMING = "Streaming"


def environ_key(name: str) -> str:
    """Return the key of a header in the WSGI environment."""
    return "HTTP_" + name.upper().replace("-", "_")
