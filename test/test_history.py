"""The checker accepts linearizable histories and rejects others."""

from test.history import NEVER, UNKNOWN, Model, Operation, is_linearizable


class Register(Model):
    """A register: ("write", value) returns None, ("read",) returns the value."""

    initial = 0

    def apply(self, state, request):
        if request[0] == "write":
            return request[1], None
        return state, state


def write(called: float, returned: float, value: int, answer=None) -> Operation:
    return Operation(
        called=called, returned=returned, request=("write", value), answer=answer
    )


def read(called: float, returned: float, value: int) -> Operation:
    return Operation(called=called, returned=returned, request=("read",), answer=value)


def is_accepted(*history: Operation) -> bool:
    return is_linearizable(list(history), Register())


def test_reads_during_a_write_may_see_either_value():
    assert is_accepted(write(0, 10, 1), read(1, 2, 0), read(3, 4, 1))


def test_stale_read_after_a_write_is_refused():
    assert not is_accepted(write(0, 1, 1), read(2, 3, 0))


def test_older_value_after_newer_read_is_refused():
    assert not is_accepted(write(0, 10, 1), read(1, 2, 1), read(3, 4, 0))


def test_lost_write_is_refused():
    assert not is_accepted(write(0, 1, 1), write(2, 3, 2), read(4, 5, 1))


def test_unwritten_value_is_refused():
    assert not is_accepted(write(0, 1, 1), read(0, 5, 7))


def test_unknown_write_may_have_happened_or_not():
    unknown = write(0, NEVER, 1, answer=UNKNOWN)
    assert is_accepted(unknown, read(5, 6, 0))
    assert is_accepted(unknown, read(5, 6, 0), read(7, 8, 1))
    assert not is_accepted(unknown, read(5, 6, 1), read(7, 8, 0))


def test_unknown_write_cannot_happen_before_it_was_called():
    assert not is_accepted(read(0, 1, 1), write(2, NEVER, 1, answer=UNKNOWN))
