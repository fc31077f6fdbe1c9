"""The route of finished batch jobs is removed by a change of the configuration; their results are read again."""
import asyncio
import base64
import json
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))
from stage import CannotRun, Stage, main, route, service  # noqa: E402

KEY = {"Shelflink-Credential": "key-of-guild1"}
JOBS, ITEMS = 4, 5
APPLY_S, SETTLE_S, CONTACT_S = 2.0, 1.0, 3.0


def configuration():
    routes = [route("r-alt", "/alt/", "streaming", "caption-desk"),
              route("r-archive", "/archive/", "batch", "caption-desk", priority=2, runAimMs=8000, keepS=60,
                    timeoutMs=8000)]
    return {"configVersion": 1, "routes": routes, "services": [service("caption-desk", 32)],
            "tenants": [{"name": "guild1", "apiKeys": ["key-of-guild1"], "maxQueuedTokens": 640000}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000}}


async def submit(stage, record, job):
    items = [{"id": f"{job}{index:02x}", "path": f"/archive/{job}/{index}", "tokens": 1200,
              "headers": {"Shelflink-Model": "m", "Shelflink-Token-Count": "1172,28"},
              "body": base64.b64encode(b"a frame").decode()} for index in range(ITEMS)]
    document = json.dumps({"requests": items}).encode()
    for attempt in range(10):
        proxy = stage.proxies[attempt % len(stage.proxies)]
        answer = await stage.request(proxy, "POST", f"/archive/{job}", {**KEY, "Shelflink-Request-Id": job},
                                     document)
        record.say(f"client: job {job} at {proxy.node}: {answer.status or 'no answer'}")
        if answer.status == 202:
            return
        await asyncio.sleep(0.5)
    raise CannotRun(f"job {job} was not accepted")


async def read(stage, record, proxy, job):
    """Status and results, all from the start."""
    answer = await stage.request(proxy, "GET", f"/lots/{job}?afterId=0", {**KEY, "Shelflink-Wait-Ms": "500"})
    results = json.loads(answer.body)["results"] if answer.status == 200 else []
    record.say(f"client: read {job} at {proxy.node}: {answer.status or 'no answer'}, {len(results)} results"
               + ("" if answer.status == 200 else f" {answer.body[:60]!r}"))
    return answer.status, results


async def play(record, trouble):
    stage = Stage(record, ["seattle-hall", "portland-hall", "tacoma-hall"])
    try:
        await stage.start("caption-desk")
        await stage.configure(configuration(), 0)
        await stage.wait_ready()
        await asyncio.sleep(CONTACT_S + 1)
        jobs = [f"{0xb0 + number:016x}" for number in range(JOBS)]
        for job in jobs:
            await submit(stage, record, job)
        before = {}
        for job in jobs:
            for _ in range(20):
                status, before[job] = await read(stage, record, stage.proxies[0], job)
                if len(before[job]) == ITEMS:
                    break
                await asyncio.sleep(0.5)
            else:
                raise CannotRun(f"job {job} was not done in time")
        # The last read, not the 202, is what the bound counts from.
        await asyncio.sleep(SETTLE_S)
        removed = "r-archive" if trouble else "r-alt"
        change = json.dumps({"configVersion": 2, "remove": {"routes": [removed]}}).encode()
        record.say(f"operator: removes the route {removed}", show=True)
        for core in stage.cores:
            answer = await stage.order("PATCH", "/config", change, 1, core)
            if answer.status == 200:
                break
        else:
            raise CannotRun("the change was not acknowledged")
        await asyncio.sleep(APPLY_S + CONTACT_S)
        lost = changed = 0
        for job in jobs:
            for proxy in stage.proxies:
                status, results = await read(stage, record, proxy, job)
                lost += status in (404, 410)
                changed += status == 200 and results != before[job]
        record.say(f"{JOBS} jobs, {JOBS * len(stage.proxies)} reads: {lost} answered 404 or 410, "
                   f"{changed} with other results than before", show=True)
        return not lost and not changed
    finally:
        stage.stop()


if __name__ == "__main__":
    sys.exit(main(HERE, play))
