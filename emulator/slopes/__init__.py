"""Measures what a sidecar needs per request, endpoint, connection and change of its endpoint list.

Each measurement is taken at several sizes, and its points are saved as lines of JSON in
`records/slopes-*.jsonl`. A straight line is fitted through the points whose rate was sustained.
"""
