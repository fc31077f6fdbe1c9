"""Troubles drawn from the seed: several lanes, each with one trouble after the other."""
import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from soak.batch_clients import BatchClients
from soak.clients import Clients
from soak.cuts import Cuts
from soak.deployment import BOUNDS, Deployment, Machine, Role, machine_counts
from soak.endpoints import EndpointFleet
from soak.history import History, Trouble, TroubleKind
from soak.operators import Operators
from soak.platform import Platform
from soak.processes import RESTART_DELAY_S, Fleet, Process

LANES = 3
PAUSE_S = (0.2, 1.5)
DOWN_S = (0.1, 2.5)
FREEZE_S = (0.3, 5.0)
FULL_S = (3.0, 6.0)
CUT_S = (1.0, 5.0)
PLATFORM_S = (1.0, 5.0)
LOST_S = (2.0, 5.0)
LOST_SHARE = 0.3
RELEASE_PAUSE_S = 1.0
ONE_WAY_SHARE = 0.5
WEIGHTS = {
    TroubleKind.KILL: 4, TroubleKind.FREEZE: 4, TroubleKind.TERMINATE: 2,
    TroubleKind.KILL_CORE: 1, TroubleKind.WIPE: 1, TroubleKind.FULL_DISK: 3,
    TroubleKind.FULL_IN_TURN: 2, TroubleKind.FULL_AT_ONCE: 1, TroubleKind.CUT: 5,
    TroubleKind.ENDPOINT_LEAVES: 3, TroubleKind.RELEASE: 1, TroubleKind.PLATFORM_DOWN: 2,
    TroubleKind.PLATFORM_SLOW: 1, TroubleKind.PLATFORM_LOSES: 1, TroubleKind.ANSWERS_LOST: 2,
}
DISK_KINDS = (TroubleKind.FULL_DISK, TroubleKind.FULL_IN_TURN, TroubleKind.FULL_AT_ONCE)
OUTSIDE = frozenset({TroubleKind.ENDPOINT_LEAVES, TroubleKind.RELEASE, TroubleKind.PLATFORM_DOWN,
                     TroubleKind.PLATFORM_SLOW, TroubleKind.PLATFORM_LOSES,
                     TroubleKind.ANSWERS_LOST})
# A wiped disk is the one loss of data: until its copies are back no other machine that counts may
# be in trouble, and none may have been.
WIPE_SHIELD_S = BOUNDS.catch_up + 2.0


@dataclass
class World:
    """All that troubles act on."""

    deployment: Deployment
    history: History
    fleet: Fleet
    platform: Platform
    endpoints: EndpointFleet
    operators: Operators
    clients: Clients
    batch: BatchClients
    can_cut: bool


class Troubles:
    """Draws and plays troubles, and ends them all in the end."""

    def __init__(self, world: World, seed: int, quiet: bool = False) -> None:
        self._world = world
        self._seed = seed
        self._quiet = quiet  # Nothing but endpoints that leave.
        self._cuts = Cuts(world.deployment)
        self._busy: set[str] = set()  # Machines in trouble now.
        self._wiped_until = 0.0  # Machines that count are spared until then.
        self._until = 0.0
        self._plays: dict[TroubleKind, Callable[[Trouble, random.Random], Awaitable[None]]] = {
            TroubleKind.KILL: self._kill, TroubleKind.KILL_CORE: self._kill,
            TroubleKind.WIPE: self._wipe, TroubleKind.FREEZE: self._freeze,
            TroubleKind.TERMINATE: self._terminate, TroubleKind.FULL_DISK: self._fill,
            TroubleKind.FULL_IN_TURN: self._fill_in_turn, TroubleKind.FULL_AT_ONCE: self._fill,
            TroubleKind.CUT: self._cut, TroubleKind.ENDPOINT_LEAVES: self._leave,
            TroubleKind.RELEASE: self._release, TroubleKind.PLATFORM_DOWN: self._platform_down,
            TroubleKind.PLATFORM_SLOW: self._platform_slow,
            TroubleKind.PLATFORM_LOSES: self._platform_loses,
            TroubleKind.ANSWERS_LOST: self._lose_answers,
        }

    async def run(self, until: float) -> None:
        """Plays troubles until then, and waits for the end of the last one."""
        self._until = until
        await asyncio.gather(*(self._lane(number) for number in range(1 if self._quiet else LANES)))

    async def _lane(self, number: int) -> None:
        rng = random.Random(f"{self._seed}/lane {number}")
        kind = rng.choice(DISK_KINDS) if number == 0 else self._draw_kind(rng)
        if self._quiet:
            kind = TroubleKind.ENDPOINT_LEAVES
        while self._world.history.now() < self._until:
            await self._play(kind, random.Random(rng.getrandbits(64)))
            await asyncio.sleep(rng.uniform(*PAUSE_S))
            kind = self._draw_kind(rng)

    def _draw_kind(self, rng: random.Random) -> TroubleKind:
        kind = rng.choices(list(WEIGHTS), list(WEIGHTS.values()))[0]
        if self._quiet:
            return TroubleKind.ENDPOINT_LEAVES
        return TroubleKind.KILL if kind is TroubleKind.CUT and not self._world.can_cut else kind

    async def _play(self, kind: TroubleKind, rng: random.Random) -> None:
        machines = self._draw_machines(kind, rng)
        if kind is TroubleKind.WIPE:
            if not await self._wait_to_wipe():
                return
        elif not self._may_strike(kind, machines):
            return
        names = frozenset(machine.name for machine in machines)
        trouble = Trouble(kind, names, self._world.history.now())
        self._world.history.troubles.append(trouble)
        self._busy |= names
        try:
            await self._plays[kind](trouble, rng)
        finally:
            self._busy -= names
            trouble.end = self._world.history.now()

    def _draw_machines(self, kind: TroubleKind, rng: random.Random) -> list[Machine]:
        deployment = self._world.deployment
        cores, stores = deployment.of_role(Role.CORE), deployment.of_role(Role.STORE)
        if kind in OUTSIDE:
            return []
        if kind is TroubleKind.KILL_CORE:
            return cores
        if kind is TroubleKind.FULL_IN_TURN:
            return rng.sample(cores, 2) if rng.random() < 0.7 else rng.sample(stores, 2)
        if kind is TroubleKind.FULL_AT_ONCE:
            return cores + stores if rng.random() < 0.5 else cores
        if kind in (TroubleKind.FULL_DISK, TroubleKind.WIPE):
            return [rng.choice(cores + stores)]
        return [rng.choice(deployment.machines)]

    def _may_strike(self, kind: TroubleKind, machines: list[Machine]) -> bool:
        if any(machine.name in self._busy for machine in machines):
            return False
        if kind in OUTSIDE and kind in self._kinds_under_way():
            return False
        spared = self._world.history.now() < self._wiped_until
        return not (spared and any(machine.counts for machine in machines))

    def _kinds_under_way(self) -> set[TroubleKind]:
        return {trouble.kind for trouble in self._world.history.troubles
                if trouble.end == float("inf")}

    async def _wait_to_wipe(self) -> bool:
        """Spares the machines that count until all of them have long been well; whether it may."""
        now = self._world.history.now()
        if now < self._wiped_until or now + WIPE_SHIELD_S > self._until:
            return False
        self._wiped_until = float("inf")
        while self._recently_struck():
            await asyncio.sleep(0.1)
        return True

    def _recently_struck(self) -> bool:
        since = self._world.history.now() - WIPE_SHIELD_S
        return any(trouble.end > since and any(map(machine_counts, trouble.machines))
                   for trouble in self._world.history.troubles)

    def _processes(self, trouble: Trouble) -> list[Process]:
        return [process for process in self._world.fleet.processes
                if process.machine.name in trouble.machines]

    def _with_disk(self, name: str) -> list[Process]:
        return [process for process in self._world.fleet.processes
                if process.machine.name == name and process.role is not Role.PROXY]

    async def _kill(self, trouble: Trouble, rng: random.Random) -> None:
        processes = self._processes(trouble)
        if trouble.kind is TroubleKind.KILL_CORE:
            processes = [process for process in processes if process.role is Role.CORE]
        down = rng.uniform(0.0, 0.6) if trouble.kind is TroubleKind.KILL_CORE \
            else rng.uniform(*DOWN_S)
        for process in processes:
            process.hold_down()
            process.kill()
        await asyncio.sleep(down)
        for process in processes:
            process.release()
        await self._until_started_again()

    async def _wipe(self, trouble: Trouble, rng: random.Random) -> None:
        processes = self._processes(trouble)
        for process in processes:
            process.hold_down()
            process.kill()
        await asyncio.sleep(rng.uniform(*DOWN_S) + 0.2)
        for process in self._with_disk(*trouble.machines):
            process.wipe_disk()
        for process in processes:
            process.release()
        await self._until_started_again()
        self._wiped_until = self._world.history.now() + WIPE_SHIELD_S

    async def _freeze(self, trouble: Trouble, rng: random.Random) -> None:
        processes = self._processes(trouble)
        for process in processes:
            process.freeze()
        await asyncio.sleep(rng.uniform(*FREEZE_S))
        for process in processes:
            process.thaw()

    async def _terminate(self, trouble: Trouble, _: random.Random) -> None:
        await asyncio.gather(*(process.terminate() for process in self._processes(trouble)))
        await self._until_started_again()

    @staticmethod
    async def _until_started_again() -> None:
        await asyncio.sleep(2 * RESTART_DELAY_S)  # A start is a part of the trouble.

    async def _fill(self, trouble: Trouble, rng: random.Random) -> None:
        growth_only = rng.random() < 0.5
        trouble.detail += "no growth" if growth_only else "no write"
        processes = [process for name in trouble.machines for process in self._with_disk(name)]
        for process in processes:
            process.fill_disk(growth_only)
        await asyncio.sleep(rng.uniform(*FULL_S))
        for process in processes:
            process.free_disk()

    async def _fill_in_turn(self, trouble: Trouble, rng: random.Random) -> None:
        for name in sorted(trouble.machines):
            one = Trouble(trouble.kind, frozenset({name}), self._world.history.now())
            await self._fill(one, rng)
            trouble.detail += f"{name} {one.begin:.1f} to {self._world.history.now():.1f} s," \
                              f" {one.detail}; "

    async def _cut(self, trouble: Trouble, rng: random.Random) -> None:
        [name] = trouble.machines
        machines = self._world.deployment.machines
        [struck] = [machine for machine in machines if machine.name == name]
        others = [machine for machine in machines if machine is not struck]
        if rng.random() < 0.5:
            others = rng.sample(others, rng.randint(1, len(others) - 1))
        ways = rng.choice(["to", "from"]) if rng.random() < ONE_WAY_SHARE else "both"
        trouble.detail = f"{ways}: {', '.join(other.name for other in others)}"
        if ways in ("to", "both"):
            self._cuts.between_machines([struck], others, present=True)
        if ways in ("from", "both"):
            self._cuts.between_machines(others, [struck], present=True)
        await asyncio.sleep(rng.uniform(*CUT_S))
        self._cuts.between_machines([struck], others, present=False)
        self._cuts.between_machines(others, [struck], present=False)

    async def _leave(self, trouble: Trouble, _: random.Random) -> None:
        trouble.detail = self._world.endpoints.leave()

    async def _release(self, trouble: Trouble, _: random.Random) -> None:
        for _ in range(6):
            trouble.detail += f"{self._world.endpoints.leave()} "
            await asyncio.sleep(RELEASE_PAUSE_S)

    async def _platform_down(self, _: Trouble, rng: random.Random) -> None:
        self._world.platform.down = True
        await asyncio.sleep(rng.uniform(*PLATFORM_S))
        self._world.platform.down = False

    async def _platform_slow(self, _: Trouble, rng: random.Random) -> None:
        self._world.platform.slow = True
        await asyncio.sleep(rng.uniform(*PLATFORM_S))
        self._world.platform.slow = False

    async def _platform_loses(self, _: Trouble, rng: random.Random) -> None:
        self._world.platform.loses = True
        await asyncio.sleep(rng.uniform(*PLATFORM_S))
        self._world.platform.loses = False

    async def _lose_answers(self, _: Trouble, rng: random.Random) -> None:
        self._set_lost_share(LOST_SHARE)
        await asyncio.sleep(rng.uniform(*LOST_S))
        self._set_lost_share(0.0)

    def _set_lost_share(self, share: float) -> None:
        world = self._world
        world.operators.lost_share = world.clients.lost_share = world.batch.lost_share = share
