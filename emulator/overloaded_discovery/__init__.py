"""An overloaded discovery by the clock of a simulation: how late real decision modules learn of changes.

Discovery works through polls one after another and rejects a poll at once where too many wait. The sidecars
are the real decision module; what their discovery client does is simulated: it polls, watches, moves to
another address, and gives up on responses that are lost. Times are integer microseconds.
"""
