"""What the emulator and the fault tests share: discovery's wire forms, HTTP messages, ports and processes.

The sidecar imports nothing of this package.
"""
