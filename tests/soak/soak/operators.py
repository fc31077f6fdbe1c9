"""Operators: change the configuration at any core process, repeat until it is clear, read back."""
import asyncio
import random
from urllib.parse import urlsplit

from soak import configurations
from soak.deployment import CONTROL_PORT, Deployment, Role
from soak.history import ConfigurationOrder, ConfigurationRead, History, OperatorAnswer, OrderState
from soak.http import Answer, Call, perform

PATIENCE_S = 1.0
PAUSE_S = (0.2, 0.8)
PATCH_SHARE = 0.5
READ_SHARE = 0.3
PIPELINED_SHARE = 0.2  # Of changes: a second one is sent on top of the first at once.
MOST_PAUSE_S = 0.5
REDIRECTS = 2


class Operators:
    """Operators with one knowledge of the version in force, at all core processes or at `cores`."""

    def __init__(self, deployment: Deployment, history: History, rng: random.Random,
                 cores: list[str] | None = None, prefix: str = "") -> None:
        self.lost_share = 0.0
        self._names = {machine.ip: machine.name for machine in deployment.of_role(Role.CORE)}
        self._cores = cores or list(self._names)
        self._prefix = prefix  # Of the tags, which are its own.
        self._history = history
        self._rng = rng
        self._known_version = 0
        self._orders = 0

    async def run(self) -> None:
        """Changes and reads, until it is cancelled."""
        while True:
            await asyncio.sleep(self._rng.uniform(*PAUSE_S))
            if self._rng.random() < READ_SHARE:
                await self.read(self._rng.choice(self._cores))
            elif self._rng.random() < PIPELINED_SHARE:
                await self.pipeline(until=self._history.now() + 20.0)
            else:
                await self.change(until=self._history.now() + 20.0)

    async def change(self, until: float) -> bool:
        """One change, sent again until its fate is clear; whether it was acknowledged."""
        return await self._send(self._draw_order(self._known_version), until)

    async def pipeline(self, until: float) -> None:
        """Two changes at once, the second on top of the first, both to the same process at first."""
        core = self._rng.choice(self._cores)
        first = self._draw_order(self._known_version)
        second = self._draw_order(first.version)
        await asyncio.gather(self._send(first, until, core), self._send(second, until, core))

    async def _send(self, order: ConfigurationOrder, until: float, core: str = "") -> bool:
        """Sends it, at first to `core`, until its fate is clear; whether it was acknowledged."""
        patches = order.base > 0 and self._rng.random() < PATCH_SHARE
        make = configurations.patch if patches else configurations.whole
        method = "PATCH" if patches else "PUT"
        body = make(order.version, order.tag)
        pause = 0.05
        while self._history.now() < until and order.state is OrderState.OPEN:
            answer = await self._call(method, {"If-Match": str(order.base)}, body, core, order.tag)
            core = ""
            self._take(order, answer.status)
            if order.state is OrderState.OPEN:
                await asyncio.sleep(pause)
                pause = min(pause * 2, MOST_PAUSE_S)
        if order.state is OrderState.REFUSED:
            await self.read(self._rng.choice(self._cores))
        return order.state is OrderState.ACKNOWLEDGED

    async def read(self, core: str) -> bool:
        """Reads the configuration back from one core process; whether it came."""
        sent = self._history.now()
        answer = await self._call("GET", {}, b"", core)
        if answer.status != 200 or not answer.complete:
            return False
        version, tag = configurations.read(answer.body)
        self._history.reads.append(ConfigurationRead(sent, version, tag,
                                                      self._history.now()))
        self._known_version = max(self._known_version, version)
        return True

    async def read_everywhere(self) -> bool:
        """Whether every core process gives the configuration."""
        return all([await self.read(core) for core in self._cores])

    def _draw_order(self, base: int) -> ConfigurationOrder:
        self._orders += 1
        order = ConfigurationOrder(f"{self._prefix}t{self._orders}", base, base + self._rng.randint(1, 3),
                                   self._history.now())
        self._history.orders.append(order)
        return order

    def _take(self, order: ConfigurationOrder, status: int) -> None:
        if status == 200:
            order.state = OrderState.ACKNOWLEDGED
            self._known_version = max(self._known_version, order.version)
        elif status in (400, 409, 412, 413, 422):
            order.state = OrderState.REFUSED
        else:
            return
        order.answered = self._history.now()

    async def _call(self, method: str, headers: dict[str, str], body: bytes,
                    core: str = "", tag: str = "") -> Answer:
        host = asked = core or self._rng.choice(self._cores)
        port = CONTROL_PORT
        path = "/config"
        sent = self._history.now()
        lost = self._rng.random() < self.lost_share
        answer = Answer()
        for _ in range(1 + REDIRECTS):
            answer = await perform(Call(
                host, port, method, path,
                {"Host": f"{host}:{port}", "Content-Type": "application/json", **headers}, body,
                PATIENCE_S, self._rng.uniform(0.0, 0.1) if lost else None))
            if answer.status != 307:
                break
            location = urlsplit(answer.headers["location"])
            host, port = location.hostname or host, location.port or port
            path = location.path or path
        self._history.answers.append(OperatorAnswer(self._names[asked], tag, sent,
                                                    self._history.now(), answer.status))
        return answer
