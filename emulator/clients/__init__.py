"""Open-loop clients in a process of their own. They send requests at a fixed rate, regardless of responses.

Arrivals form a Poisson process, drawn from a seed. The latency of a request is measured from the time at
which it was due. Delays of the client itself therefore appear as latency, not as a lower rate, which avoids
coordinated omission. A run that sent too many requests late, or did not send all of them, did not sustain its
rate and is invalid.
"""
