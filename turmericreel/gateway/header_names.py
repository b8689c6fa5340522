"""Names of the HTTP headers that the gateway reads and sets."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class HeaderNames:
    """Header names used with clients and servers; an adapter may set others.

    Attributes
    ----------
    attempt_id : str
        Id of a client's attempt, which is one request to a gateway; servers return it.
    signature : str
        Signature of the server, which all successful answers bear.  Answers without it,
        or without `attempt_id`, are not those of the server.  ``""`` if servers do not
        sign.
    deadline_ms : str
        Time left for the request, in milliseconds; from clients and to servers.
    key : str
        Key of the client account; never forwarded.
    account : str
        Name of the client account, sent to servers.
    expected_server : str
        Id of the intended server; any other server refuses the request.
    server_id : str
        Id of the server that answered a health check.
    not_run : str
        Set by a server that did not run the request.
    leaving : str
        Set by a server that is about to leave, in all its answers.
    rate_limit : str
        Requests a second that a server takes from all gateways together; set in all its
        answers while it applies.
    brittle : str
        Requests a second that a server can refuse for want of room before it falls
        over; set in all its answers while it applies.
    cold_ms : str
        For how much longer a server is cold, in milliseconds; in its answers.
    load : str
        Running requests, waiting requests and slots of a server, comma-separated.
    model : str
        Requested model; `any_model` leaves the choice to the router.
    confidence : str
        Confidence that a model states for its answer, from 0 to 100.
    priority : str
        Priority of a request at a server, from 0 (highest) to 9.
    token_counts : str
        Number of prompt tokens, and the maximum number of generated ones.
    prompt_parts : str
        Parts of the prompt in order, as ``id:tokens`` separated by commas.
    session : str
        Session of the request; requests with the same value belong together.
    last_event_id : str
        Id of the last event of a stream that the client received.
    reserved : tuple of str
        Headers that only the router sets; dropped from client requests.
    """

    attempt_id: str = "Turmericreel-Request-Id"
    signature: str = ""
    deadline_ms: str = "Turmericreel-Deadline-Ms"
    key: str = "Turmericreel-Client-Key"
    account: str = "Turmericreel-Account"
    expected_server: str = "Turmericreel-Server"
    server_id: str = "Turmericreel-Server-Id"
    not_run: str = "Turmericreel-Refused"
    leaving: str = "Turmericreel-Leaving"
    rate_limit: str = "Turmericreel-Rate-Limit"
    brittle: str = "Turmericreel-Brittle"
    cold_ms: str = "Turmericreel-Cold-Ms"
    load: str = "Turmericreel-Load"
    model: str = "Turmericreel-Wanted-Model"
    any_model: str = "*"
    confidence: str = "Turmericreel-Answer-Confidence"
    priority: str = "Turmericreel-Priority"
    token_counts: str = "Turmericreel-Prompt-Tokens"
    prompt_parts: str = "Turmericreel-Prompt-Parts"
    session: str = "Turmericreel-Session"
    last_event_id: str = "Last-Event-Id"
    reserved: tuple[str, ...] = ()
