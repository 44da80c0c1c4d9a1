"""The client of discovery: endpoint lists, single calls, and the watch that makes one call after another."""
