"""State machines of agreement: the change log, membership, the directory and claims."""
