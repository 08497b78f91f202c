"""Speeds of targets, and the load that they state, sane and absurd."""

import random

SPEEDS = (0.6, 1.0, 1.8)  # Durations of the same work, relative to the mean.
SPELL_S = 0.6  # The duration of a slow spell.
SPELL_PERIOD_S = 4.0  # From one slow spell to the next, on average.
SPELL_FACTOR = 2.5
MEAN_FACTOR = 1 + (SPELL_FACTOR - 1) * SPELL_S / SPELL_PERIOD_S
ABSURD_SHARE = 0.2  # The share of responses that state an absurd load.
ABSURD_LOADS = (
    "", ",", ",,,", "1", "1,2", "1,,8", "1,2,8,", "1,2,8,100,5", "one,two,8",
    "1,2,8,fast", "nan,inf,8,1e3", "0x1,2,8", "-1,-2,-8,-100", "1,0,8,-100",
    "1,0,8,0", "1,0,8,9", "1,0,8,2001", "1,0,0,100", "10001,0,8,100",
    "99999999999999999999,0,8,100", "1,0,8," + "9" * 300, "1," * 200,
    "x" * 500, "0,10000,1,2000")


class Pace:
    """How long work takes at a target, at each time."""

    def __init__(self, speed, seed):
        self.speed = speed
        self.random = random.Random(seed)
        self._spell_end = 0.0

    def factor(self, now):
        """Duration of work that starts now, relative to the mean."""
        return self.speed * self._spell_factor(now)

    def _spell_factor(self, now):
        while now >= self._spell_end:
            self._spell_end = (self._spell_end or now) + SPELL_S + \
                self.random.expovariate(1 / (SPELL_PERIOD_S - SPELL_S))
        return SPELL_FACTOR if self._spell_end - now < SPELL_S else 1.0

    def stated_load(self, now, running, waiting, slots):
        """Returns a value of the load header."""
        if self.random.random() < ABSURD_SHARE:
            return self.random.choice(ABSURD_LOADS)
        figures = [running, waiting, slots]
        if self.random.random() < 0.8:
            figures.append(int(100 * self._spell_factor(now)))
        return ",".join(str(figure) for figure in figures)
