"""Puts garbage collection off while a program's modules are imported.

Nothing that is imported becomes garbage, and looking for it takes a tenth of the time
of a start.  This module must be imported before the others.
"""

import gc

gc.disable()


def enable_gc() -> None:
    """Leave aside what was imported, and collect garbage from here on."""
    gc.freeze()
    gc.enable()
