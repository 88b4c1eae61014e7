"""`python -m persimmonusher_node`, the same as `persimmonusher`."""

from persimmonusher_node.main import main

main()
