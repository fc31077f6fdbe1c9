"""Clients of batch jobs: submit until it is clear, read from any position, ask for bodies, end."""
import asyncio
import base64
import json
import random

from soak.clients import Ingress
from soak.configurations import API_KEY, HOSTNAME, JOBS_PREFIX
from soak.deployment import FRONT_PORT
from soak.endpoints import whole_text
from soak.history import BatchJob, BatchRead, BatchResult, History
from soak.http import Answer, Call, perform

JOB_PAUSE_S = 1.0
READ_PAUSE_S = 0.5
ITEMS = (2, 5)
END_SHARE = 0.1
EARLIER_SHARE = 0.2
SUBMIT_TRIES = 20
ITEM_TOKENS = 40
ITEM_BODY = b"a prompt"
WAIT_MS = 300


class BatchClients:
    """New jobs while `submitting`, and a reader for each that was accepted."""

    def __init__(self, ingress: Ingress, history: History, rng: random.Random) -> None:
        self.submitting = True
        self.lost_share = 0.0
        self._ingress = ingress
        self._history = history
        self._rng = rng
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Until it is cancelled."""
        while True:
            await asyncio.sleep(JOB_PAUSE_S)
            if self.submitting:
                task = asyncio.create_task(self._live_of_job())
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    def stop(self) -> None:
        """Ends the readers."""
        for task in self._tasks:
            task.cancel()

    async def read_back(self, job: BatchJob) -> None:
        """One try to read all of a job from its start, in the calm."""
        if await self._read_from_start(job):
            job.read_back = True

    async def _live_of_job(self) -> None:
        job, document = self._draw_job()
        if not await self._submit(job, document):
            return
        await self._ask_for_body(job, self._rng.choice(list(job.texts)))
        position = 0
        while position < len(job.texts):
            await asyncio.sleep(READ_PAUSE_S)
            earlier = self._rng.random() < EARLIER_SHARE
            read = await self._read(job, self._rng.randint(0, position) if earlier else position)
            if read:
                position = max(position, read.first + len(read.results))
            if position == 0 and self._rng.random() < END_SHARE:
                job.end_asked = True
                await self._call("DELETE", f"/lots/{job.job_id}", {})
                return

    async def _ask_for_body(self, job: BatchJob, item_id: str) -> None:
        answer = await self._call("GET", f"/items/{job.job_id}?id={item_id}", {})
        if answer.status == 200 and answer.complete and answer.body != ITEM_BODY:
            self._history.wrong_bodies.append(f"{item_id}: {answer.body[:80]!r}")

    def _draw_job(self) -> tuple[BatchJob, bytes]:
        job_id = f"{self._rng.getrandbits(64):016x}"
        items, texts = [], {}
        for number in range(self._rng.randint(*ITEMS)):
            item_id = f"{job_id}{number:02x}"
            target = f"{JOBS_PREFIX}{job_id}/{number}"
            texts[item_id] = whole_text(target)
            items.append({"id": item_id, "path": target, "tokens": ITEM_TOKENS,
                          "headers": {"Shelflink-Token-Count": f"{ITEM_TOKENS - 8},8"},
                          "body": base64.b64encode(ITEM_BODY).decode()})
        job = BatchJob(job_id, texts)
        self._history.jobs[job_id] = job
        return job, json.dumps({"requests": items}).encode()

    async def _submit(self, job: BatchJob, document: bytes) -> bool:
        headers = {"Shelflink-Request-Id": job.job_id, "Content-Type": "application/json"}
        target = f"{JOBS_PREFIX}{job.job_id}"
        for _ in range(SUBMIT_TRIES):
            answer = await self._call("POST", target, headers, document)
            if answer.status == 202 and answer.complete:
                job.accepted = self._history.now()
                return True
            await asyncio.sleep(READ_PAUSE_S)
        return False

    async def _read_from_start(self, job: BatchJob) -> bool:
        position = 0
        while position < len(job.texts):
            read = await self._read(job, position)
            if read is None or not read.results:
                return read is not None and job.end_asked
            position += len(read.results)
        return True

    async def _read(self, job: BatchJob, first: int) -> BatchRead | None:
        answer = await self._call("GET", f"/lots/{job.job_id}?afterId={first}",
                                  {"Shelflink-Wait-Ms": str(WAIT_MS)})
        job.answer_in_calm = answer.status
        if answer.status != 200 or not answer.complete:
            return None
        page = json.loads(answer.body)
        results = tuple(BatchResult(each["id"], each["state"], each.get("text", ""))
                        for each in page["results"])
        read = BatchRead(job.job_id, self._history.now(), first, page["total"], results)
        self._history.batch_reads.append(read)
        return read

    async def _call(self, method: str, target: str, headers: dict[str, str],
                    body: bytes = b"") -> Answer:
        machine = self._ingress.pick()
        lost = self._rng.random() < self.lost_share
        return await perform(Call(
            machine.ip, FRONT_PORT, method, target,
            {"Host": HOSTNAME, "Shelflink-Credential": API_KEY, **headers}, body, 2.5,
            self._rng.uniform(0.0, 0.1) if lost else None))
