"""The platform's stand-in: the list of endpoints in pages, and the duties with their fences."""
import asyncio
import json
import random
from dataclasses import dataclass
from urllib.parse import parse_qs, urlsplit

from soak.deployment import BOUNDS, PLATFORM_PORT, Deployment
from soak.history import Fence, History, Leaving, UsageReport
from soak.http import Request, Server, answer_with

PAGE_ENTRIES = 4
CALLS_PER_S = 40
SLOW_S = (0.5, 2.0)
LOST_SHARE = 0.5


@dataclass(frozen=True)
class Instance:
    """An entry of the list."""

    id: str
    service: str
    address: str
    zone: str
    slots: int
    draining: bool

    def json(self) -> dict[str, object]:
        """As the platform writes it."""
        return {"id": self.id, "service": self.service, "address": self.address,
                "zone": self.zone, "configVersion": "v1", "slots": self.slots,
                "state": "draining" if self.draining else "ready", "coldLeftMs": 0}


class Platform:
    """Answers from a list that runs `lag` behind; may be down, slow or lose its answers."""

    def __init__(self, deployment: Deployment, history: History, rng: random.Random) -> None:
        self.down = False
        self.slow = False
        self.loses = False
        self._ip = deployment.platform_ip
        self._history = history
        self._rng = rng
        self._server = Server(self._serve)
        self._shown: list[Instance] = []
        self._highest_fence: dict[str, int] = {}
        self._calls: list[float] = []

    async def start(self) -> None:
        """Listens."""
        await self._server.start(self._ip, PLATFORM_PORT)

    def stop(self) -> None:
        """Ends all connections."""
        self._server.stop()

    def set_list(self, instances: list[Instance]) -> None:
        """Shown after the list's lag."""
        asyncio.get_running_loop().call_later(BOUNDS.lag, self._show, instances)

    def _show(self, instances: list[Instance]) -> None:
        ready_before = {entry.id for entry in self._shown if not entry.draining}
        ready_now = {entry.id for entry in instances if not entry.draining}
        for endpoint in ready_before - ready_now:
            self._history.leavings.append(Leaving(endpoint, self._history.now()))
        self._shown = instances

    async def _serve(self, request: Request, writer) -> bool:
        while self.down:
            await asyncio.sleep(0.2)
            if writer.is_closing():
                return False
        if self.slow:
            await asyncio.sleep(self._rng.uniform(*SLOW_S))
        status, body = self._answer(request)
        if self.loses and self._rng.random() < LOST_SHARE:
            return False
        await answer_with(writer, status, body, {"Content-Type": "application/json"})
        return True

    def _answer(self, request: Request) -> tuple[int, bytes]:
        target = urlsplit(request.target)
        if request.method == "GET" and target.path == "/instances":
            if self._too_many():
                return 429, b""
            return 200, self._page(parse_qs(target.query))
        if request.method == "POST" and target.path in ("/usage", "/scale"):
            return self._duty(target.path, request), b""
        return 404, b""

    def _too_many(self) -> bool:
        now = self._history.now()
        self._calls = [at for at in self._calls if at > now - 1.0]
        if len(self._calls) >= CALLS_PER_S:
            return True
        self._calls.append(now)
        return False

    def _page(self, query: dict[str, list[str]]) -> bytes:
        zone = query.get("zone", [""])[0]
        first = int(query.get("pageToken", ["p-0"])[0].removeprefix("p-"))
        entries = [entry.json() for entry in self._shown if zone in ("", entry.zone)]
        behind = first + PAGE_ENTRIES
        token = f"p-{behind}" if behind < len(entries) else None
        return json.dumps({"instances": entries[first:behind], "nextToken": token}).encode()

    def _duty(self, path: str, request: Request) -> int:
        order = json.loads(request.body)
        subject = "usage" if path == "/usage" else f"scale {order['service']} {order['zone']}"
        holder = request.headers["shelflink-duty-holder"]
        fence = int(request.headers["shelflink-fence-token"])
        self._history.fences.append(Fence(subject, fence, holder))
        if fence < self._highest_fence.get(subject, 0):
            return 409
        self._highest_fence[subject] = fence
        if path == "/usage":
            counts = json.dumps(order["counts"], sort_keys=True)
            self._history.usage.append(UsageReport(order["window"], counts))
        return 200
