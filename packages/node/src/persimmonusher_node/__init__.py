"""The daemon: ports, adapters and the entry and keeper roles."""
