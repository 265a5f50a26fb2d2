"""Emulator of the platform, load tool and bench; never shipped."""
