"""The rules by which one instance polls discovery; `polling` joins them, each rule has a file of its own."""
