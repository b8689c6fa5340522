"""Validation of the operators' text: all faults together, with line and key."""

import pytest
import rtoml
from hypothesis import given
from hypothesis import strategies as st

from test.library import TEXT
from turmericreel.model.check_text import parse_text
from turmericreel.model.failures import FailureError, TextRejected
from turmericreel.model.line_index import LineIndex
from turmericreel.util.keys import hash_key

FAULTY = f"""\
colour = "blue" # unknown key
[client_accounts."household"]
key_hashes = [
  "{hash_key("one")}", # a comment with ] and "
  "{hash_key("one")}",
  "sha256:short",
]
allowed = {{ "quotes" = ["small", "huge"], "nowhere" = ["v1"] }}
requests_per_second = 0

[services.quotes]
kind = "oracle"
depends_on = ["booking", "ghost"]
quality_target = 1.5
note = \"\"\"
[services.fake]
depends_on = "not a key"
\"\"\"
versions.small.model = "oven"
versions.small.share = -0.5
versions.small.input_price = "ten"

[services.booking]
kind = "plain"
depends_on = ["quotes"]
repeatable = ["get slots"]

[services.booking.versions]
"""


def faults_of(source: str) -> list[tuple[int, str]]:
    with pytest.raises(FailureError) as caught:
        parse_text(source)
    assert isinstance(caught.value.failure, TextRejected)
    return [(fault.line, fault.key) for fault in caught.value.failure.faults]


def test_all_faults_are_named_with_line_and_key():
    assert faults_of(FAULTY) == [
        (1, "colour"),
        (5, "client_accounts.household.key_hashes.1"),
        (6, "client_accounts.household.key_hashes.2"),
        (8, "client_accounts.household.allowed.nowhere"),
        (8, "client_accounts.household.allowed.quotes.1"),
        (9, "client_accounts.household.requests_per_second"),
        (12, "services.quotes.kind"),
        (13, "services.quotes.depends_on"),
        (13, "services.quotes.depends_on.1"),
        (14, "services.quotes.quality_target"),
        (15, "services.quotes.note"),
        (20, "services.quotes.versions.small.share"),
        (21, "services.quotes.versions.small.input_price"),
        (23, "services.booking"),
        (25, "services.booking.depends_on"),
        (26, "services.booking.repeatable.0"),
    ]


def test_missing_key_is_named_at_its_table():
    source = '[services.quotes]\nkind = "plain"\n\n[services.quotes.versions.v1]\n'
    assert faults_of(source) == [(4, "services.quotes.versions.v1")]


def test_syntax_error_names_its_line():
    assert faults_of("[services]\nkind = = 1\n") == [(2, "")]
    assert faults_of('[services]\nkind = """open\n') == [(3, "")]
    assert faults_of("[services]\n\n[services]\n") == [(3, "")]


def test_array_of_tables_is_located_by_element():
    source = '[[a.b]]\nx = 1\n\n[[a.b]]\n"y.z" = 2\n[a.b.c]\nd = 3\n'
    index = LineIndex(source=source)
    assert index.line_of(("a", "b", 0, "x")) == 2
    assert index.line_of(("a", "b", 1, "y.z")) == 5
    assert index.line_of(("a", "b", 1, "c", "d")) == 7


@given(st.text(max_size=200))
def test_any_text_is_parsed_or_rejected(source):
    try:
        parse_text(source)
    except FailureError as error:
        assert isinstance(error.failure, TextRejected)


@given(st.data())
def test_any_damaged_text_is_parsed_or_rejected_with_lines_inside_it(data):
    start = data.draw(st.integers(0, len(TEXT)))
    length = data.draw(st.integers(0, 30))
    inserted = data.draw(st.text(alphabet="[]{}=\"'#.,\n\\x1-", max_size=12))
    source = TEXT[:start] + inserted + TEXT[start + length :]
    try:
        parse_text(source)
    except FailureError as error:
        n_lines = source.count("\n") + 1
        assert all(1 <= f.line <= n_lines for f in error.failure.faults)


def assert_paths_are_indexed(index: LineIndex, value, path: tuple) -> None:
    if path:
        assert path in index.lines
    match value:
        case dict():
            for key, item in value.items():
                assert_paths_are_indexed(index, item, (*path, key))
        case list():
            for number, item in enumerate(value):
                assert_paths_are_indexed(index, item, (*path, number))


KEYS = st.sampled_from(["a", "b-1", '"c d"', "'e.f'", '"q\\"]"', "g . h"])
SCALARS = st.sampled_from(
    ["1", "2.5", "true", '"x # y"', "'''a\n]b'''", '"""c\\"""\n"""""', "1979-05-27"]
)
VALUES = st.recursive(
    SCALARS,
    lambda inner: (
        st.lists(inner, max_size=3).map(
            lambda items: "[ # first\n" + ",\n".join(items) + "]"
        )
        | st.lists(st.tuples(KEYS, inner), max_size=2, unique_by=lambda p: p[0]).map(
            lambda pairs: "{" + ", ".join(f"{k} = {v}" for k, v in pairs) + "}"
        )
    ),
    max_leaves=6,
)
TABLES = st.lists(
    st.tuples(
        st.sampled_from(["[t1]", "[t1.u]", "[[t2]]", "[[t2.v]]", "[ 't3' . w ]"]),
        st.lists(st.tuples(KEYS, VALUES), max_size=3),
    ),
    max_size=4,
)


@given(TABLES)
def test_every_path_of_a_document_has_a_line(tables):
    source = "\n".join(
        header + "\n" + "\n".join(f"{key} = {value} # end" for key, value in pairs)
        for header, pairs in tables
    )
    try:
        document = rtoml.loads(source)
    except rtoml.TomlParsingError:
        return
    assert_paths_are_indexed(LineIndex(source=source), document, ())
