"""The client of discovery: endpoint lists, single calls, and the watch that calls again and again."""
