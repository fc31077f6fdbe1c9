"""Storage machines that do not count for the quorum are lost, with their disks."""
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import stage2

ZONES = {zone: "erongo" for zone in ("walvis", "kuiseb", "dune", "lagoon", "brandberg")}
EDGES = ("walvis", "kuiseb", "dune")
UNCOUNTED = ("dune", "lagoon", "brandberg")  # Two storage machines count: tolerance + 1.
TOLERANCE = {"machines": 1, "zones": 0, "regions": 0}
DOWN_S = 2.0


async def run(stage):
    machines = [m for m in stage.machines if not m.counts]
    return await stage2.accepted_work_outlives(
        stage, stage2.many_tenants(48),
        lambda: stage.lose("what does not count", machines, DOWN_S))


stage2.main(ZONES, TOLERANCE, run, edges=EDGES, uncounted=UNCOUNTED)
