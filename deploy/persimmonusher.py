"""Start one process from the sources that deploy/build.sh copied to target/."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "target" / "app"))

from persimmonusher_platform.__main__ import main  # noqa: E402

sys.exit(main())
