"""The rules by which one instance polls discovery, one rule per module; `polling` applies them together."""
