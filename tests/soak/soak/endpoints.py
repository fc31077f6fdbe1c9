"""Endpoint stand-ins: whole answers and streams of events, drain, leave and return anew."""
import asyncio
import json
import random
import zlib
from dataclasses import dataclass

from soak.deployment import BOUNDS, ENDPOINT_PORT, ZONES, Deployment
from soak.history import EndpointRun, History
from soak.http import Request, Server, answer_with, head_text
from soak.platform import Instance, Platform

SERVICES = ("svc-a", "svc-b")
SLOTS = 32
JOB_ID_DIGITS = 16  # The ids of its items begin with that of a batch job.
MOST_EVENTS = 8
NOT_RUN_SHARE = 0.01
BREAK_SHARE = 0.01
ITEM_FAILS_SHARE = 0.03
STAYS_BEYOND_DRAIN_S = 2.0
EVENT_PAUSE_S = (0.002, 0.03)
SERVICE_TIME_S = (0.001, 0.05)


def event_count(target: str) -> int:
    """How many events a stream of this target has."""
    return 1 + zlib.crc32(target.encode()) % MOST_EVENTS


def event_data(key: str, number: int) -> str:
    """The data of an event; `key` is the target, or the stamp where no run may continue another."""
    return f"{key}#{number}"


def event_text(key: str, number: int) -> str:
    """An event as it is sent."""
    return f"id: {number}\ndata: {event_data(key, number)}\n\n"


def whole_text(target: str) -> str:
    """What a completed item of this target gives: the data of all its events."""
    return "\n".join(event_data(target, number) for number in range(1, event_count(target) + 1))


@dataclass
class Incarnation:
    """One start of an endpoint."""

    id: str
    service: str
    zone: str
    address: str
    server: Server
    draining: bool = False
    running: int = 0
    stamps: int = 0


class EndpointFleet:
    """One endpoint of each service in each zone, replaced by new incarnations as they leave."""

    def __init__(self, deployment: Deployment, history: History, platform: Platform,
                 rng: random.Random) -> None:
        self._deployment = deployment
        self._history = history
        self._platform = platform
        self._rng = rng
        self._now: list[Incarnation] = []
        self._started = 0
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Starts one incarnation a place."""
        for service in SERVICES:
            for zone in ZONES:
                await self._start_one(service, zone)

    def stop(self) -> None:
        """Ends all of them."""
        for task in self._tasks:
            task.cancel()
        for incarnation in self._now:
            incarnation.server.stop()

    def leave(self) -> str:
        """One that is ready drains and ends; another takes its place. Returns its id, if any."""
        ready = [incarnation for incarnation in self._now if not incarnation.draining]
        if not ready:
            return ""
        leaving = self._rng.choice(ready)
        task = asyncio.create_task(self._replace(leaving))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return leaving.id

    async def _replace(self, leaving: Incarnation) -> None:
        leaving.draining = True
        await self._start_one(leaving.service, leaving.zone)
        await asyncio.sleep(BOUNDS.lag + BOUNDS.drain + STAYS_BEYOND_DRAIN_S)
        leaving.server.stop()
        self._now.remove(leaving)
        self._tell_platform()

    async def _start_one(self, service: str, zone: str) -> None:
        self._started += 1
        ip = self._deployment.endpoint_ip(self._started)
        server = Server(lambda request, writer: self._serve(incarnation, request, writer))
        incarnation = Incarnation(f"i-{self._started}-{service}", service, zone,
                                  f"{ip}:{ENDPOINT_PORT}", server)
        await server.start(ip, ENDPOINT_PORT)
        self._now.append(incarnation)
        self._tell_platform()

    def _tell_platform(self) -> None:
        self._platform.set_list([
            Instance(each.id, each.service, each.address, each.zone, SLOTS, each.draining)
            for each in self._now])

    async def _serve(self, endpoint: Incarnation, request: Request, writer) -> bool:
        if request.target == "/health":
            status = 503 if endpoint.draining else 200
            await answer_with(writer, status, b"", {"Shelflink-Instance-Id": endpoint.id})
            return True
        if request.target == "/report":
            await answer_with(writer, 200, self._report(endpoint))
            return True
        expected = request.headers.get("shelflink-expect-instance", endpoint.id)
        if expected != endpoint.id:
            return await self._turn_away(request, writer, 421)
        request_id = request.headers.get("shelflink-request-id", "")
        if request_id not in self._history.requests and not self._is_item(request_id):
            self._history.unasked.append(f"{request_id} {request.method} {request.target}")
        if endpoint.running >= SLOTS or self._rng.random() < NOT_RUN_SHARE:
            return await self._turn_away(request, writer, 503)
        endpoint.running += 1
        try:
            return await self._run(endpoint, request, writer)
        finally:
            endpoint.running -= 1

    def _is_item(self, request_id: str) -> bool:
        job = self._history.jobs.get(request_id[:JOB_ID_DIGITS])
        return job is not None and request_id in job.texts

    @staticmethod
    def _report(endpoint: Incarnation) -> bytes:
        return json.dumps({"stage": "both", "models": [], "busy": False, "seq": 0, "waiting": 0,
                           "running": endpoint.running, "kvUsed": 0, "kvTotal": 100000,
                           "handles": 0}).encode()

    @staticmethod
    async def _turn_away(request: Request, writer, status: int) -> bool:
        headers = {"Shelflink-Request-Id": request.headers.get("shelflink-request-id", ""),
                   "Shelflink-Not-Run": "1"}
        await answer_with(writer, status, b"", headers)
        return True

    def _note_run(self, endpoint: Incarnation, request: Request) -> EndpointRun:
        endpoint.stamps += 1
        run = EndpointRun(request.headers["shelflink-request-id"], endpoint.id,
                          f"{endpoint.id}.{endpoint.stamps}", self._history.now(),
                          target=request.target)
        self._history.runs.setdefault(run.request_id, []).append(run)
        return run

    async def _run(self, endpoint: Incarnation, request: Request, writer) -> bool:
        run = self._note_run(endpoint, request)
        await asyncio.sleep(self._rng.uniform(*SERVICE_TIME_S))
        headers = {"Shelflink-Request-Id": run.request_id, "Shelflink-Response-Stamp": run.stamp}
        if endpoint.draining:
            headers["Connection"] = "close"
        if self._is_item(run.request_id) and self._rng.random() < ITEM_FAILS_SHARE:
            run.status = 500
            await answer_with(writer, 500, b"", headers)
        elif request.target.startswith(("/stream/", "/resume/", "/jobs/")):
            await self._stream(run, request, writer, headers)
        else:
            run.body = f"{run.stamp} ".encode() + b"x" * self._rng.randrange(4000)
            if self._breaks(run):
                return False
            await answer_with(writer, 200, run.body, headers)
        return not run.broken and not endpoint.draining

    def _breaks(self, run: EndpointRun) -> bool:
        run.broken = self._rng.random() < BREAK_SHARE
        return run.broken

    async def _stream(self, run: EndpointRun, request: Request, writer,
                      headers: dict[str, str]) -> None:
        key = run.stamp if request.target.startswith("/stream/") else request.target
        first = int(request.headers.get("last-event-id", "0")) + 1
        events = [event_text(key, number).encode()
                  for number in range(first, event_count(request.target) + 1)]
        run.body = b"".join(events)
        fields = {**headers, "Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}
        writer.write(head_text("HTTP/1.1 200 Any", fields))
        for event in events:
            if self._breaks(run):
                writer.transport.abort()
                return
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self._rng.uniform(*EVENT_PAUSE_S))
        writer.write(b"0\r\n\r\n")
        await writer.drain()
