"""What a sidecar spends by request, endpoint, connection and change of its endpoint list.

Each measurement is taken at several sizes and kept as lines of JSON in `records/slopes-*.jsonl`; a line is
fitted through the points that sustained their rate.
"""
