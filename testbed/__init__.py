"""Code shared by the emulator and the fault tests: discovery's wire format, HTTP messages, ports, processes.

The sidecar imports nothing from this package.
"""
