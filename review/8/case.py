"""A new version of the configuration replaces a batch route by one of another name, with the same
host, prefix and service, while accepted items wait."""
import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import stage2
from stage2 import Job

ZONES = {"walvis": "erongo", "kuiseb": "erongo", "dune": "erongo"}
TOLERANCE = {"machines": 1, "zones": 0, "regions": 0}
HOST = "nony24.example"
KEY = "i9n73hh2b9wu3fexd9dn"
PREFIX = "/pule252/"
ITEMS = 10
SLOTS = 2
RUN_S = 0.6  # So 10 items take some 6 s at most.
CALM_S = 5.0  # Of the rule.


async def run(stage):
    await stage.add_endpoint("faultread", "walvis", slots=SLOTS, events=4, run_s=RUN_S)
    endpoint = stage.endpoints[0]
    await stage.start(stage2.document(
        5, [stage2.batch_route("r-sweep", HOST, PREFIX, "faultread")], ["faultread"],
        {"kaje80": [KEY]}))
    await asyncio.sleep(stage2.CATCH_UP_S)
    job = Job(HOST, KEY, PREFIX, ITEMS)
    if not await stage.submit(job):
        raise stage2.CannotRun("the batch job was not accepted")
    await asyncio.sleep(1.5)
    if not endpoint.runs:
        raise stage2.CannotRun("no item has begun to run")
    if stage2.trouble():
        change = {"configVersion": 7, "remove": {"routes": ["r-sweep"]}, "upsert": {
            "routes": [stage2.batch_route("r-sweep-2", HOST, PREFIX, "faultread")]}}
        if not await stage.order("PATCH", "/config", 5, change, 10.0):
            raise stage2.CannotRun("the change was not acknowledged")
    stage.record("the traffic has ended")
    await asyncio.sleep(stage2.FINISH_S + 1.0)
    stage.record("finishS is over")

    results = await stage.read_all(job)
    for _ in range(5):
        if results is not None:
            break
        await asyncio.sleep(1.0)
        results = await stage.read_all(job)
    if results is None:
        return [f"LOST: batch job {job.id} cannot be read"]
    listed = {item for item, _, _ in results}
    waiting = [item for item in job.items if item not in listed]
    stage.record(f"{len(listed)} of {ITEMS} items are listed")
    now = stage.now()
    busy = endpoint.running > 0 or now - endpoint.last_item_end < CALM_S
    if waiting and (busy or any(now - at < CALM_S for at, _ in endpoint.runs)):
        raise stage2.CannotRun("items still ran when the time was over")
    return [f"LOST: item {item} of an open batch job is listed neither as completed nor as "
            f"dead_letter after finishS; the endpoint has been idle for "
            f"{now - endpoint.last_item_end:.1f} s" for item in waiting]


stage2.main(ZONES, TOLERANCE, run)
