"""Measures the streamed tokens that an entry instance relays per processor second.

Run it as ``python -m bench.token_relay --duration 20``.
"""

import argparse
import json
import time

from bench.system import System, load_streams, running_system


def main() -> None:
    """Measure and print the result as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rate", type=float, default=6.0)
    parser.add_argument("--duration", type=float, default=20.0)
    parser.add_argument("--n-tokens", type=int, default=2_000)
    parser.add_argument("--between-tokens-ms", type=float, default=0.0)
    parser.add_argument("--folder", help="parent of the data folders")
    options = parser.parse_args()
    with running_system(
        options.folder,
        n_control=1,
        n_assistants=4,
        n_tokens=options.n_tokens,
        between_tokens_ms=options.between_tokens_ms,
    ) as system:
        print(json.dumps(measure(system, options), indent=2))


def measure(system: System, options: argparse.Namespace) -> dict:
    """Return the tokens relayed per processor second of the entry instance."""
    time.sleep(1.0)
    targets, used_s = load_streams(
        system, options, "--max-tokens", str(options.n_tokens)
    )
    (router,) = targets
    n_tokens = router["outcomes"].get("Completed", 0) * options.n_tokens
    return {
        "outcomes": router["outcomes"],
        "n_spoiled": router["n_spoiled"],
        "n_tokens": n_tokens,
        "entry_processor_s": used_s,
        "tokens_for_each_processor_second": round(n_tokens / used_s),
    }


if __name__ == "__main__":
    main()
