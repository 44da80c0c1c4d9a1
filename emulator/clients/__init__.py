"""Open-loop clients in a process of their own: requests come at a stated rate, whatever the responses take.

Arrivals are Poisson from a seed. A latency counts from the moment that a request was meant to be sent, so a
client that falls behind shows it as latency and not as fewer requests (coordinated omission). A run that was
late with too many requests, or left some unsent, could not sustain its rate and counts for nothing.
"""
