"""An order that was refused by 412 comes into force: a core process that stood still takes it up later."""
import asyncio
import json
import pathlib
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
from stage import Stage, main, route, service  # noqa: E402

FREEZE_S = 3.2
FIRST, SECOND, THIRD = 1, 7, 9  # Versions; each builds on the one before.


def configuration(version):
    return {"configVersion": version, "routes": [route("r-alt", "/alt/", "streaming", "caption-desk")],
            "services": [service("caption-desk", 32)], "tenants": [{"name": "guild1", "apiKeys": ["key-of-guild1"]}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000}}


def patch(version, timeout_ms):
    changed = route("r-alt", "/alt/", "streaming", "caption-desk", timeoutMs=timeout_ms)
    return json.dumps({"configVersion": version, "upsert": {"routes": [changed]}}).encode()


async def change(stage, base, body, cores, pause):
    """An operator's order, sent again unchanged, to the next core process, until the answer is clear."""
    for core in cores:
        answer = await stage.order("PATCH", "/config", body, base, core)
        if answer.status == 200 or answer.status in (400, 409, 412, 413, 422):
            return answer.status
        await asyncio.sleep(pause)
    return 0


async def read_version(stage):
    """The newest configuration, asked for until it comes."""
    for _ in range(20):
        answer = await stage.order("GET", "/config")
        if answer.status == 200:
            return json.loads(answer.body)["configVersion"]
        await asyncio.sleep(0.3)
    return None


async def play(record, trouble):
    stage = Stage(record, ["seattle-hall", "portland-hall", "tacoma-hall"])
    try:
        await stage.start("caption-desk")
        await stage.configure(configuration(FIRST), 0)
        await stage.wait_ready()
        await asyncio.sleep(4.0)
        held, second, third = stage.cores[2], stage.cores[1], stage.cores[0]
        if trouble:
            record.say(f"trouble: {held.node}'s core process stands still for {FREEZE_S} s", show=True)
            held.signal(signal.SIGSTOP)
        thaw = asyncio.get_running_loop().call_later(FREEZE_S, held.signal, signal.SIGCONT)
        # Two orders under way at once, the later on top of the earlier; both reach the same process first.
        first_status, second_status = await asyncio.gather(
            change(stage, FIRST, patch(SECOND, 4000), [held, third, second], 0.4),
            change(stage, SECOND, patch(THIRD, 3000), [held, second, third], 0.1))
        record.say(f"version {SECOND} on {FIRST}: {first_status}; version {THIRD} on {SECOND}: {second_status}",
                   show=True)
        at_once = await read_version(stage)
        await asyncio.sleep(FREEZE_S + 4.0)
        thaw.cancel()
        in_the_end = await read_version(stage)
        record.say(f"in force then: {at_once}; in the end: {in_the_end}", show=True)
        return not (second_status == 412 and in_the_end == THIRD)
    finally:
        stage.stop()


if __name__ == "__main__":
    sys.exit(main(HERE, play))
