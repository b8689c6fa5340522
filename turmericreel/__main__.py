"""Entry point of the program."""

import turmericreel.util.event_loop  # noqa: F401, I001

from turmericreel.ui.errors import run


def main() -> None:
    """Run the command line."""
    run()


if __name__ == "__main__":
    main()
