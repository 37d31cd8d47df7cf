"""Callers that send programs: chains of requests through changing hosts."""

import dataclasses
import heapq

# Time from the end of one request to the next one of a program.
GAP_MS = 120.0
# A refused request comes again after this time, and fails the third time.
RETURN_MS = 300.0
MAX_REFUSALS = 3


@dataclasses.dataclass
class Program:
    """One program; ``length`` is its number of requests."""

    name: str
    kind: str
    length: int
    begun_ms: float
    done: int = 0
    refusals: int = 0
    has_failed: bool = False

    @property
    def is_whole(self):
        return self.done == self.length


class ProgramLoad:
    """Programs of one workspace that begin at random.

    :param lengths: shortest and longest program by kind; most are short.
    :param tells_programs: whether requests tell their program.
    """

    def __init__(self, world, workspace, lengths, tells_programs=True):
        self.tells_programs = tells_programs
        self.world = world
        self.workspace = workspace
        self.lengths = lengths
        self.starts_per_s = 0.0
        self.programs = []
        self._due = []
        self._until_ms = world.clock.now_ms()
        world.loads.append(self)

    def mean_length(self):
        """Return the mean number of requests of a program."""
        return sum(
            (2 * shortest + longest) / 3
            for shortest, longest in self.lengths.values()
        ) / len(self.lengths)

    def press(self, rate_per_s):
        """Begin as many programs as make so many requests a second."""
        self.starts_per_s = rate_per_s / self.mean_length()

    def step(self):
        """Begin programs and send the requests that are due."""
        random = self.world.random
        now_ms = self.world.clock.now_ms()
        if not self._until_ms < now_ms - 1_000.0 and self.starts_per_s:
            while self._until_ms < now_ms:
                self._until_ms += (
                    random.expovariate(self.starts_per_s) * 1_000.0
                )
                self._begin(now_ms)
        else:
            self._until_ms = now_ms
        while self._due and self._due[0][0] <= now_ms:
            _, place = heapq.heappop(self._due)
            self._send(place, now_ms)

    def _begin(self, now_ms):
        random = self.world.random
        kind = random.choice(list(self.lengths))
        shortest, longest = self.lengths[kind]
        length = round(random.triangular(shortest, longest, shortest))
        place = len(self.programs)
        self.programs.append(
            Program(f"{kind}-{random.random()}", kind, length, now_ms)
        )
        heapq.heappush(self._due, (now_ms, place))

    def _send(self, place, now_ms):
        program = self.programs[place]
        random = self.world.random
        hosts = [one for one in self.world.hosts.values() if one.runs]
        is_served = self.world.send_request(
            self.workspace,
            random.choice(hosts),
            program.name if self.tells_programs else "",
        )
        if is_served:
            program.done += 1
            program.refusals = 0
            wait_ms = GAP_MS
        else:
            program.refusals += 1
            program.has_failed = program.refusals == MAX_REFUSALS
            wait_ms = RETURN_MS
        if not program.is_whole and not program.has_failed:
            wait_ms *= random.uniform(0.5, 1.5)
            heapq.heappush(self._due, (now_ms + wait_ms, place))

    def begun(self, from_ms, until_ms):
        """Return the programs that began in a time."""
        return [
            one for one in self.programs if from_ms <= one.begun_ms < until_ms
        ]
