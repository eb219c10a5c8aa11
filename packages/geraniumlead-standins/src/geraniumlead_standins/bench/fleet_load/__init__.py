"""Play a whole fleet before an index of many shards, in virtual time and with slow processors."""
