"""Counts the instances whose subset holds each backend server, at full size.

    python -m bench.subset_evenness

Writes bench/results/evenness.json.
"""

import json
from collections import Counter
from pathlib import Path

import numpy

from bench.stand_ins import N_DATA_CENTRES, backend_server
from turmericreel.decisions.subset import HomedServer, ServerSubset, SubsetSizes
from turmericreel.model.ids import DataCentreId, InstanceId, ServiceName

RESULTS = Path(__file__).parent / "results" / "evenness.json"
N_INSTANCES = 370
N_SERVERS = 2_600
SUBSET_SIZES = (20, 40, 60, 80)


def measure(n_servers: int) -> dict:
    """Return the distribution of the number of instances that hold a server.

    Parameters
    ----------
    n_servers : int
        Size of the subset of each instance.
    """
    homed = [
        HomedServer(
            server=backend_server(n), home=InstanceId(f"entry-{n % N_INSTANCES:03}")
        )
        for n in range(N_SERVERS)
    ]
    homes = {h.server.server: h.home for h in homed}
    known: Counter = Counter(dict.fromkeys(homes, 0))
    for n in range(N_INSTANCES):
        instance = InstanceId(f"entry-{n:03}")
        subset = ServerSubset(
            instance=instance,
            data_centre=DataCentreId(f"centre-{n % N_DATA_CENTRES}"),
            sizes=SubsetSizes(n_servers=n_servers),
        )
        known.update(subset.choose(ServiceName("helper-llm"), homed))
    counts = numpy.array(list(known.values()))
    return {
        "subset": n_servers,
        "min": int(counts.min()),
        "p1": float(numpy.percentile(counts, 1)),
        "median": float(numpy.median(counts)),
        "max": int(counts.max()),
        "home_only": float((counts <= 1).mean()),
    }


def main() -> None:
    """Measure each subset size and write the results."""
    results = [measure(n_servers) for n_servers in SUBSET_SIZES]
    for result in results:
        print(result)
    RESULTS.parent.mkdir(exist_ok=True)
    RESULTS.write_text(json.dumps(results, indent=1) + "\n")


if __name__ == "__main__":
    main()
