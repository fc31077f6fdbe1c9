"""One seed from its start to the findings: set up, troubles, calm, judgement."""
import asyncio
import os
import pathlib
import random
import shutil
import statistics
from dataclasses import dataclass

from soak.batch_clients import BatchClients
from soak.clients import Clients, Ingress
from soak.cut_plan import CutPlan, Step
from soak.deployment import BOUNDS, Deployment, reserve_block
from soak.endpoints import EndpointFleet
from soak.figures import Figures, text_in_order, text_of
from soak.history import DriverLag, History, OrderState
from soak.judge import Finding, judge
from soak.operators import Operators
from soak.platform import Platform
from soak.processes import Fleet, Programs
from soak.troubles import Troubles, World

START_S = 40.0  # Sanitized programs on a busy machine take their time.
CALM_S = 11.0
CALM_PAUSE_S = 0.3
COUNTED_S = 3.0
LEAVE_AT_S = (3.2, 4.2)
LAG_PERIOD_S = 0.05
LEAST_LAG_S = 0.02  # Shorter ones are not noted.
MOST_PRINTED = 5  # Findings of one rule.
BESIDE_S = 120.0  # What a seed may take beside its troubles.


@dataclass(frozen=True)
class Plan:
    """What is to be played."""

    seed: int
    length: float
    folder: pathlib.Path  # Settings and logs.
    disks: pathlib.Path  # Of the machines; removed in the end.
    programs: Programs
    quiet: bool = False  # No trouble but endpoints that leave.
    cuts: tuple[Step, ...] = ()  # In place of troubles that are drawn.


class NotStarted(Exception):
    """The tier did not come up before any trouble."""


def make_world(plan: Plan, block: int) -> tuple[World, Ingress]:
    """All parts, none of them started."""
    deployment = Deployment(block, plan.folder, plan.disks)
    deployment.make_folders()
    history = History()

    def rng(part: str) -> random.Random:
        return random.Random(f"{plan.seed}/{part}")

    ingress = Ingress(deployment, rng("ingress"))
    platform = Platform(deployment, history, rng("platform"))
    return World(
        deployment, history, Fleet(deployment, plan.programs, history), platform,
        EndpointFleet(deployment, history, platform, rng("endpoints")),
        Operators(deployment, history, rng("operators")), Clients(ingress, history, rng("clients")),
        BatchClients(ingress, history, rng("batch")), can_cut=not plan.programs.plain), ingress


class SeedRun:
    """Plays one plan."""

    def __init__(self, plan: Plan, block: int) -> None:
        self._plan = plan
        self._world, self._ingress = make_world(plan, block)
        self._troubles = self._make_troubles()
        self._tasks: list[asyncio.Task[None]] = []

    def _make_troubles(self) -> Troubles | CutPlan:
        if self._plan.cuts:
            return CutPlan(self._world, self._plan.cuts, random.Random(f"{self._plan.seed}/cuts"))
        return Troubles(self._world, self._plan.seed, self._plan.quiet)

    async def play(self) -> History:
        """The whole; everything that was started is gone after it, also on failure."""
        try:
            await self._start()
            await self._troubles.run(self._world.history.now() + self._plan.length)
            await self._calm()
        finally:
            await self._stop()
        return self._world.history

    async def _start(self) -> None:
        world = self._world
        await world.platform.start()
        await world.endpoints.start()
        world.fleet.start()
        self._spawn(self._watch_lag(), self._ingress.run(),
                    Figures(world.deployment, world.history).run())
        until = world.history.now() + START_S
        if not await world.operators.change(until):
            raise NotStarted("no configuration was acknowledged")
        while self._ingress.not_ready():
            if world.history.now() > until:
                raise NotStarted(f"not ready: {', '.join(self._ingress.not_ready())}")
            await asyncio.sleep(0.1)
        self._spawn(world.operators.run(), world.operators.run(), world.clients.run(),
                    world.batch.run())

    def _spawn(self, *coroutines) -> None:
        self._tasks += [asyncio.create_task(each) for each in coroutines]

    async def _watch_lag(self) -> None:
        history = self._world.history
        while True:
            due = history.now() + LAG_PERIOD_S
            await asyncio.sleep(LAG_PERIOD_S)
            by = history.now() - due
            if by >= LEAST_LAG_S:
                history.lags.append(DriverLag(history.now(), by))

    async def _calm(self) -> None:
        world, seen = self._world, self._world.history.calm
        seen.begin = world.history.now()
        world.batch.submitting = False
        await asyncio.gather(self._order_in_calm(), self._leave_in_calm(),
                             self._watch_readiness(), asyncio.sleep(CALM_S))
        world.clients.counting = True
        await asyncio.sleep(COUNTED_S)
        world.clients.counting = False
        await asyncio.gather(self._read_configuration(), self._read_batches())
        await world.clients.finish()

    def _elapsed(self) -> float:
        return self._world.history.now() - self._world.history.calm.begin

    async def _order_in_calm(self) -> None:
        history = self._world.history
        until = history.calm.begin + BOUNDS.recovery
        while history.now() < until:
            if await self._world.operators.change(until):
                history.calm.acknowledged_after = self._elapsed()
                return

    async def _leave_in_calm(self) -> None:
        for at in LEAVE_AT_S:
            await asyncio.sleep(max(0.0, at - self._elapsed()))
            self._world.endpoints.leave()

    async def _watch_readiness(self) -> None:
        seen = self._world.history.calm
        while True:
            seen.not_ready = self._ingress.not_ready()
            if not seen.not_ready or self._elapsed() > BOUNDS.recovery:
                return
            await asyncio.sleep(CALM_PAUSE_S)

    async def _read_configuration(self) -> None:
        until = self._elapsed() + BOUNDS.contact
        calm = self._world.history.calm
        while not calm.read_back and self._elapsed() < until:
            calm.read_back = await self._world.operators.read_everywhere()

    async def _read_batches(self) -> None:
        jobs = [job for job in self._world.history.jobs.values() if job.accepted is not None]
        until = BOUNDS.recovery + BOUNDS.finish
        while True:
            left = [job for job in jobs if not job.read_back]
            await asyncio.gather(*map(self._world.batch.read_back, left))
            if not left or self._elapsed() > until:
                return
            await asyncio.sleep(CALM_PAUSE_S)

    async def _stop(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._world.batch.stop()
        await self._world.fleet.stop()
        self._world.endpoints.stop()
        self._world.platform.stop()


def timeline(history: History) -> list[str]:
    """The troubles, line by line."""
    return [f"  {each.begin:7.3f} to {each.end:7.3f} s: "
            f"{', '.join(sorted(each.machines)) or 'outside'}: {each.kind.value}"
            f"{' (' + each.detail.strip() + ')' if each.detail else ''}"
            for each in history.troubles] + [f"  {history.calm.begin:7.3f} s: calm"]


def summary(seed: int, history: History) -> str:
    """What was played, in one line."""
    acknowledged = sum(order.state is OrderState.ACKNOWLEDGED for order in history.orders)
    accepted = sum(job.accepted is not None for job in history.jobs.values())
    return (f"seed {seed}: {len(history.troubles)} troubles, {acknowledged} of"
            f" {len(history.orders)} orders acknowledged, {len(history.requests)} tries,"
            f" {accepted} batch jobs, calm: served {history.calm.served} of"
            f" {history.calm.asked}; driver late by {history.longest_lag():.2f} s at most,"
            f" load {os.getloadavg()[0]:.0f} on {os.cpu_count()} processors"
            + recovery_text(history))


def recovery_text(history: History) -> str:
    """How soon core processes that had been cut off were right again."""
    after = [recovery.after for recovery in history.recoveries]
    if not after:
        return ""
    return (f"; {len(after)} cuts, right again after {statistics.median(after):.2f} s in the median,"
            f" {max(after):.2f} s at most")


def operators_text(history: History) -> str:
    """A line for each order when it is drawn, and for each answer to an operator."""
    lines = [(each.sent, f"{each.tag} on version {each.base} is to make version {each.version}")
             for each in history.orders]
    lines += [(each.at, f"{each.tag or 'read'} is answered {each.status} by {each.core},"
                        f" asked at {each.sent:.3f}") for each in history.answers]
    lines += [(each.answered, f"version {each.version} with {each.tag} is read,"
                              f" asked at {each.sent:.3f}") for each in history.reads]
    return text_in_order(lines)


def report(plan: Plan, history: History, findings: list[Finding]) -> None:
    """Prints the outcome; on findings also the timeline and where the logs are."""
    print(summary(plan.seed, history))
    troubles = "\n".join(timeline(history))
    (plan.folder / "timeline").write_text(troubles + "\n")
    (plan.folder / "figures").write_text(text_of(history))
    (plan.folder / "operators").write_text(operators_text(history))
    if not findings:
        return
    print(troubles)
    for rule in dict.fromkeys(finding.rule for finding in findings):
        of_rule = [finding for finding in findings if finding.rule == rule]
        for finding in of_rule[:MOST_PRINTED]:
            print(f"  {rule}: {finding.text}{' (timed)' if finding.timed else ''}")
        if len(of_rule) > MOST_PRINTED:
            print(f"  {rule}: and {len(of_rule) - MOST_PRINTED} more")
    print(f"  logs: {plan.folder}")


def play_seed(plan: Plan) -> bool:
    """Plays and judges one seed; whether nothing was found."""
    plan.folder.mkdir(parents=True)
    block, holder = reserve_block()

    async def bounded() -> History:
        return await asyncio.wait_for(SeedRun(plan, block).play(), plan.length + BESIDE_S)

    try:
        history = asyncio.run(bounded())
    except (NotStarted, asyncio.TimeoutError) as error:
        print(f"seed {plan.seed}: not played: {error!r}; logs: {plan.folder}")
        return False
    finally:
        holder.close()
        shutil.rmtree(plan.disks, ignore_errors=True)
    findings = judge(history)
    report(plan, history, findings)
    return not findings
