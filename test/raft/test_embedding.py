"""Runs the example of the embedding page unchanged."""

import re
from pathlib import Path

PAGE = Path(__file__).parents[2] / "docs" / "embedding.md"


def test_example_prints_the_total(capsys):
    (source,) = re.findall(r"```python\n(.*?)```", PAGE.read_text(), re.DOTALL)
    exec(compile(source, str(PAGE), "exec"), {})
    assert capsys.readouterr().out == "total 42\n"
