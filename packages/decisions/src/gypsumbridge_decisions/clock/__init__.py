"""Clocks in whole milliseconds, real and manual."""

from gypsumbridge_decisions.clock.clock import Clock as Clock
from gypsumbridge_decisions.clock.clock import make_clock as make_clock
from gypsumbridge_decisions.clock.manual import ManualTime as ManualTime
