"""A play of cuts by a plan: one core process after the other is cut off, and asked all the while."""
import asyncio
import enum
import pathlib
import random
from collections.abc import Sequence
from dataclasses import dataclass

from soak.cuts import Cuts, Process
from soak.deployment import Machine, Role
from soak.figures import CoreState, core_state
from soak.history import Recovery, Trouble, TroubleKind
from soak.operators import Operators
from soak.troubles import World

PAUSE_S = 2.5  # Between two cuts: all are right again, and judged so.
POLL_S = 0.05
FIND_S = 10.0  # For a primary that knows its backups.
STEP_BESIDE_S = PAUSE_S + FIND_S


class Struck(enum.Enum):
    """Which core process is cut off."""

    PRIMARY = "primary"
    BACKUP = "backup"
    WITNESS = "witness"


class Others(enum.Enum):
    """From whom."""

    MACHINES = "machines"  # All others, the proxy beside it as well.
    CORES = "cores"
    REPLICAS = "replicas"
    WITNESSES = "witnesses"  # That are no replicas.
    PROXIES = "proxies"


class Ways(enum.Enum):
    """What is held back, as seen from the one that is struck."""

    BOTH = "both"
    TO = "to"
    FROM = "from"


@dataclass(frozen=True)
class Step:
    """One cut."""

    struck: Struck
    others: Others
    ways: Ways
    seconds: float


def read_plan(path: pathlib.Path) -> list[Step]:
    """Lines `STRUCK OTHERS WAYS SECONDS`; empty ones and what follows a `#` count for nothing."""
    lines = [line.partition("#")[0].split() for line in path.read_text().splitlines()]
    return [Step(Struck(words[0]), Others(words[1]), Ways(words[2]), float(words[3]))
            for words in lines if words]


def longest(steps: Sequence[Step]) -> float:
    """Seconds that they take at most."""
    return sum(step.seconds + STEP_BESIDE_S for step in steps)


class CutPlan:
    """Plays the steps, with an operator at each core process throughout."""

    def __init__(self, world: World, steps: Sequence[Step], rng: random.Random) -> None:
        self._world = world
        self._steps = steps
        self._cuts = Cuts(world.deployment)
        self._cores = world.deployment.of_role(Role.CORE)
        self._operators = [
            Operators(world.deployment, world.history, random.Random(rng.getrandbits(64)),
                      cores=[core.ip], prefix=core.name) for core in self._cores]

    async def run(self, _: float) -> None:
        """All steps, in their order; how long that takes the plan says."""
        asking = [asyncio.create_task(operator.run()) for operator in self._operators]
        try:
            for step in self._steps:
                await self._play(step)
        finally:
            for task in asking:
                task.cancel()
            await asyncio.gather(*asking, return_exceptions=True)

    async def _play(self, step: Step) -> None:
        state = await self._find_primary()
        struck = self._struck(step, state) if state else None
        if struck is None:
            return
        history = self._world.history
        trouble = Trouble(TroubleKind.CUT, frozenset({struck.name}), history.now(),
                          detail=f"{step.struck.value}, {step.ways.value}, from"
                                 f" {step.others.value}",
                          isolates=step.others in (Others.MACHINES, Others.CORES))
        history.troubles.append(trouble)
        self._change(step, struck, state, present=True)
        await asyncio.sleep(step.seconds)
        self._change(step, struck, state, present=False)
        trouble.end = history.now()
        await self._await_recovery(struck, trouble.end)
        await asyncio.sleep(max(0.0, trouble.end + PAUSE_S - history.now()))

    async def _find_primary(self) -> CoreState | None:
        until = self._world.history.now() + FIND_S
        while self._world.history.now() < until:
            for state in await asyncio.gather(*map(core_state, self._cores)):
                if state and state.is_primary and len(state.replicas) > 1:
                    return state
            await asyncio.sleep(POLL_S)
        return None

    def _struck(self, step: Step, state: CoreState) -> Machine | None:
        names = {Struck.PRIMARY: {state.node}, Struck.BACKUP: state.replicas - {state.node},
                 Struck.WITNESS: state.witnesses - state.replicas}[step.struck]
        return next((core for core in self._cores if core.name in names), None)

    def _change(self, step: Step, struck: Machine, state: CoreState, present: bool) -> None:
        machines = self._world.deployment.machines
        if step.others is Others.MACHINES:
            one, others = [struck], [machine for machine in machines if machine is not struck]
            between = self._cuts.between_machines
        else:
            one, others = [Process(struck, Role.CORE)], self._others(step, struck, state)
            between = self._cuts.between_processes
        if step.ways is not Ways.FROM:
            between(one, others, present)
        if step.ways is not Ways.TO:
            between(others, one, present)

    def _others(self, step: Step, struck: Machine, state: CoreState) -> list[Process]:
        if step.others is Others.PROXIES:
            proxies = self._world.deployment.of_role(Role.PROXY)
            return [Process(machine, Role.PROXY) for machine in proxies]
        names = {Others.CORES: {core.name for core in self._cores},
                 Others.REPLICAS: state.replicas,
                 Others.WITNESSES: state.witnesses - state.replicas}[step.others]
        return [Process(core, Role.CORE) for core in self._cores
                if core.name in names and core is not struck]

    async def _await_recovery(self, struck: Machine, end: float) -> None:
        """Until the one that was cut off answers by the newest that was acknowledged."""
        history = self._world.history
        [operator] = [operator for operator, core in zip(self._operators, self._cores)
                      if core is struck]
        asked: set[asyncio.Task[bool]] = set()
        while history.now() < end + PAUSE_S and not any(each.result() for each in asked
                                                        if each.done()):
            asked.add(asyncio.create_task(operator.read(struck.ip)))
            await asyncio.wait(asked, timeout=POLL_S, return_when=asyncio.FIRST_COMPLETED)
            await asyncio.sleep(POLL_S)
        history.recoveries.append(Recovery(struck.name, end, history.now() - end))
        await asyncio.gather(*asked)
