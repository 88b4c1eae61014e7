"""Run the lab as `python -m persimmonusher_lab`."""

import sys
import warnings
from typing import Final

GREEN_COMMANDS: Final = frozenset({"backend-server", "load", "measure-client"})
"""Commands that handle many connections at once, on green threads; the others run unpatched."""

warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")
if len(sys.argv) > 1 and sys.argv[1] in GREEN_COMMANDS:
    import eventlet

    eventlet.monkey_patch()

from persimmonusher_lab.main import main  # noqa: E402

main()
