"""Run the command line as `python -m persimmonusher_ctl`."""

from persimmonusher_ctl.main import main

main()
