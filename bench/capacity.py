"""Computes the tables of docs/CAPACITY.md from measured slopes.

    python -m bench.capacity_local
    python -m bench.capacity_spread
    python -m bench.subset_evenness
    python -m bench.capacity

The first three commands measure.  The last one writes the tables between the page's
markers.
"""

import re
from pathlib import Path

from bench.capacity_costs import (
    entry_lines,
    leader_lines,
    load_local,
    load_spread,
    relay_lines,
    spread_slopes,
)
from bench.capacity_tables import (
    evenness_table,
    log_table,
    request_table,
    role_table,
    slope_table,
    spread_table,
    storm_table,
)

ROOT = Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs" / "CAPACITY.md"


def main() -> None:
    """Replace the tables between the markers of the page.

    Exit with an error if a marker is missing or occurs more than once.
    """
    local, runs = load_local(), load_spread()
    spread = spread_slopes(runs)
    tables = {
        "entry": role_table(entry_lines(local, spread)),
        "relay": role_table(relay_lines(local, spread)),
        "leader": role_table(leader_lines(local, spread)),
        "times": spread_table(runs),
        "storms": storm_table(local),
        "local slopes": slope_table(local, "python -m bench.capacity_local"),
        "spread slopes": slope_table(spread, "python -m bench.capacity_spread"),
        "evenness": evenness_table(),
        "requests": request_table(),
        "log": log_table(),
    }
    page = PAGE.read_text()
    for name, table in tables.items():
        pattern = rf"(<!-- table: {name} -->\n).*?(<!-- end -->)"
        page, n_found = re.subn(
            pattern, lambda m, t=table: f"{m[1]}{t}\n{m[2]}", page, flags=re.DOTALL
        )
        if n_found != 1:
            raise SystemExit(f"docs/CAPACITY.md needs one marker of table {name!r}")
    PAGE.write_text(page)


if __name__ == "__main__":
    main()
