"""Processor time and memory of processes, and idle time of the machine."""

import os
import pathlib

_TICKS_PER_SECOND = os.sysconf('SC_CLK_TCK')
# Indexes of the fields after the command name in /proc/<pid>/stat.
_USER_TICKS = 11
_SYSTEM_TICKS = 12


def processor_ms(pid: int) -> float:
    """Return the user and system time that a process has used."""
    text = pathlib.Path(f'/proc/{pid}/stat').read_text()
    fields = text.rsplit(')', 1)[1].split()
    ticks = int(fields[_USER_TICKS]) + int(fields[_SYSTEM_TICKS])
    return ticks * 1_000 / _TICKS_PER_SECOND


def resident_mebibytes(pid: int) -> float:
    """Return the resident memory of a process."""
    pages = int(pathlib.Path(f'/proc/{pid}/statm').read_text().split()[1])
    return pages * os.sysconf('SC_PAGE_SIZE') / 1024 / 1024


def peak_mebibytes(pid: int) -> float:
    """Return the highest resident memory that a process has had."""
    lines = pathlib.Path(f'/proc/{pid}/status').read_text().splitlines()
    line = next(found for found in lines if found.startswith('VmHWM:'))
    return int(line.split()[1]) / 1024


def idle_share_since(earlier: tuple[int, int]) -> float:
    """Return the machine's idle share since a result of `machine_ticks`."""
    idle, total = machine_ticks()
    return (idle - earlier[0]) / max(total - earlier[1], 1)


def machine_ticks() -> tuple[int, int]:
    """Return the machine's idle and total ticks since boot.

    Idle ticks include waits for input and output.
    """
    line = pathlib.Path('/proc/stat').read_text().splitlines()[0]
    ticks = [int(value) for value in line.split()[1:9]]
    return ticks[3] + ticks[4], sum(ticks)
