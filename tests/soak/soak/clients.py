"""Clients of live requests and streams, and the platform's way in that picks their sidecars."""
import asyncio
import random

from soak.configurations import API_KEY, HOSTNAME
from soak.deployment import FRONT_PORT, READY_PORT, Deployment, Machine, Role
from soak.history import History, LiveRequest, RequestKind
from soak.http import Answer, Call, perform

REQUESTS_PER_S = 25.0
DEADLINE_S = 3.0
MOST_TRIES = 3
READY_MISSES = 2
PROMISES = frozenset({408, 421, 429, 503})
FINAL = frozenset({400, 401, 404, 413, 431})


class Ingress:
    """Asks every sidecar each second whether it is ready."""

    def __init__(self, deployment: Deployment, rng: random.Random) -> None:
        self._rng = rng
        self._machines = deployment.of_role(Role.PROXY)
        self._missed = {machine.name: READY_MISSES for machine in self._machines}

    async def run(self) -> None:
        """Until it is cancelled."""
        while True:
            await asyncio.gather(asyncio.sleep(1.0), *map(self._check, self._machines))

    def pick(self) -> Machine:
        """One that is in; any of them where fewer than half are."""
        ready = [machine for machine in self._machines
                 if self._missed[machine.name] < READY_MISSES]
        return self._rng.choice(ready if 2 * len(ready) >= len(self._machines) else self._machines)

    def not_ready(self) -> list[str]:
        """Those whose last check was not answered by 200."""
        return [name for name, missed in self._missed.items() if missed]

    async def _check(self, machine: Machine) -> None:
        call = Call(machine.ip, READY_PORT, "GET", "/ready", {"Host": machine.ip}, timeout=1.0)
        ready = (await perform(call)).status == 200
        self._missed[machine.name] = 0 if ready else self._missed[machine.name] + 1


class Clients:
    """Sends requests of all kinds and tries again as the protocol allows."""

    def __init__(self, ingress: Ingress, history: History, rng: random.Random) -> None:
        self.lost_share = 0.0
        self.counting = False  # Into the calm's share of served requests.
        self._ingress = ingress
        self._history = history
        self._rng = rng
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Until it is cancelled."""
        while True:
            await asyncio.sleep(self._rng.expovariate(REQUESTS_PER_S))
            task = asyncio.create_task(self._ask())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def finish(self) -> None:
        """Waits for what is under way."""
        await asyncio.gather(*self._tasks)

    async def _ask(self) -> None:
        kind = self._rng.choice(list(RequestKind))
        target = f"/{kind.value}/{self._rng.randrange(10_000)}"
        counted = self.counting
        begin = self._history.now()
        served = False
        for _ in range(MOST_TRIES):
            left = begin + DEADLINE_S - self._history.now()
            if left < 0.2:
                break
            request = await self._try(kind, target, left)
            served = request.complete and 200 <= request.status < 300
            if not self._may_retry(request, served):
                break
            await asyncio.sleep(0.1)
        if counted:
            self._history.calm.asked += 1
            self._history.calm.served += served

    @staticmethod
    def _may_retry(request: LiveRequest, served: bool) -> bool:
        if served or request.status in FINAL:
            return False
        return not request.kind.runs_once or request.status in PROMISES

    async def _try(self, kind: RequestKind, target: str, left: float) -> LiveRequest:
        machine = self._ingress.pick()
        request = LiveRequest(f"{self._rng.getrandbits(64):016x}", kind, target, machine.name,
                              self._history.now())
        self._history.requests[request.request_id] = request
        lost = self._rng.random() < self.lost_share
        call = Call(machine.ip, FRONT_PORT, "POST" if kind is RequestKind.ONCE else "GET", target,
                    self._headers(request, left), timeout=left,
                    lose_after=self._rng.uniform(0.0, 0.1) if lost else None)
        self._take(request, await perform(call))
        return request

    @staticmethod
    def _headers(request: LiveRequest, left: float) -> dict[str, str]:
        headers = {"Host": HOSTNAME, "Shelflink-Request-Id": request.request_id,
                   "Shelflink-Deadline-Ms": str(int(left * 1000))}
        if request.kind is RequestKind.ONCE:
            headers["Shelflink-Credential"] = API_KEY
        return headers

    @staticmethod
    def _take(request: LiveRequest, answer: Answer) -> None:
        request.status = answer.status
        request.answered_id = answer.headers.get("shelflink-request-id", "")
        request.stamp = answer.headers.get("shelflink-response-stamp", "")
        request.body = answer.body
        request.complete = answer.complete
