"""A simulation of an overloaded discovery. It shows how late real decision modules know of changes.

Discovery serves polls one after another, and rejects a poll at once while too many wait. The sidecars run the
real decision module. Their discovery client is simulated: it polls, watches, changes to another address, and
gives up on responses that are lost. Times are integer microseconds on the simulation's clock.
"""
