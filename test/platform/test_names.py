"""Platform names occur only in the adapter, the deploy folder and tests."""

import re
from pathlib import Path

ROOT = Path(__file__).parents[2]
PACKAGE = ROOT / "turmericreel"
WIRE_NAMES = re.compile(
    r"Turmericreel-(Model\b|Token-Count|Prefix-Hash|Not-Executed|Backend-|Expect-|"
    r"Tenant|Retain|Pin-|Warmup-|Kv-|Length-Hint|Confidence|Weight-Versions|Attempt-Id)"
    r"|/-/(configuration|evacuation|rollouts|instances|readiness|resolution)"
    r"|\b(PathPrefix|TrafficSplit|ApiKeys|HeartbeatAddress|SeedNodes|ControlPlane"
    r"|Warmup\w+)\b"
)


def test_platform_names_occur_only_in_the_adapter():
    found = [
        f"{path.relative_to(ROOT)}: {match.group()}"
        for path in PACKAGE.rglob("*.py")
        if "platform" not in path.relative_to(PACKAGE).parts
        for match in WIRE_NAMES.finditer(path.read_text())
    ]
    assert found == []


def test_the_adapter_is_a_small_part_of_the_package():
    def n_lines(folder):
        return sum(len(p.read_text().splitlines()) for p in folder.rglob("*.py"))

    assert n_lines(PACKAGE / "platform") < n_lines(PACKAGE) / 10


def test_deploy_requirements_match_the_package():
    written = (ROOT / "deploy" / "requirements.txt").read_text().split()
    project = (ROOT / "pyproject.toml").read_text()
    block = project.partition("dependencies = [")[2].partition("]")[0]
    assert written == re.findall(r'"([^"]+)"', block)
