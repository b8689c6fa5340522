"""The control listener drops broken frames and continues to serve."""

from gevent.socket import create_connection
from hypothesis import given, settings
from hypothesis import strategies as st

from test.library import SmallSystem, chat_body, http_call
from turmericreel.model.ids import DataCentreId, Incarnation, InstanceId
from turmericreel.protocols.control_messages import Hello
from turmericreel.protocols.dropped_input import DROPPED_INPUT, DropReason, Endpoint
from turmericreel.protocols.frames import HEADER, MAX_FRAME_BYTES, FrameStream

HELLO = Hello(
    instance=InstanceId("stranger"),
    incarnation=Incarnation(1),
    data_centre=DataCentreId("nowhere"),
    http_address="",
)


def n_broken_frames() -> float:
    labels = {"door": Endpoint.CONTROL.value, "reason": DropReason.FRAME_BROKEN.value}
    return DROPPED_INPUT.labels(**labels)._value.get()


def send_raw(system: SmallSystem, sent: bytes, *, send_hello: bool) -> None:
    """Send bytes to the control listener and wait until it closes the stream."""
    port = system.instance.control_service.port
    sock = create_connection(("127.0.0.1", port), timeout=10)
    if send_hello:
        FrameStream(sock=sock, message_type=Hello, idle_timeout_s=10).send(HELLO)
    try:
        sock.sendall(sent)
        sock.shutdown(1)
        while sock.recv(65_536):
            pass
    except ConnectionError:
        # The listener may close the connection before it has read all bytes.
        pass
    sock.close()


def frame(payload: bytes) -> bytes:
    return HEADER.pack(len(payload)) + payload


def answers_chat(system: SmallSystem) -> bool:
    answer = http_call(
        system.address, "POST", "/v1/chat/completions", body=chat_body("hello")
    )
    return answer.status == 200


def test_oversized_and_truncated_frames_are_counted(system: SmallSystem):
    before = n_broken_frames()
    send_raw(system, HEADER.pack(MAX_FRAME_BYTES + 1), send_hello=False)
    send_raw(system, HEADER.pack(100) + b"short", send_hello=True)
    send_raw(system, frame(b"\x91" * 100_000), send_hello=True)
    assert n_broken_frames() == before + 3
    assert answers_chat(system)


def test_fuzzed_frames_do_not_stop_the_listener(system: SmallSystem):
    payloads = st.lists(
        st.binary(max_size=40).map(frame) | st.binary(max_size=12), max_size=4
    )

    @settings(max_examples=60)
    @given(payloads, st.booleans())
    def check(sent: list[bytes], send_hello: bool):
        send_raw(system, b"".join(sent), send_hello=send_hello)

    check()
    assert answers_chat(system)
