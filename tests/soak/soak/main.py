"""The soak's command: one process a seed, a few at once; exit status 1 where anything is found."""
import argparse
import pathlib
import shutil
import subprocess
import sys
import tempfile
import time
from concurrent.futures import ThreadPoolExecutor

from soak.cut_plan import longest, read_plan
from soak.disk_load import disk_load
from soak.processes import Programs, end_with_parent
from soak.seed import BESIDE_S, Plan, play_seed

RUN = pathlib.Path(__file__).resolve().parent.parent / "run"
SHORT_SEEDS = (1, 2)
SHORT_LENGTH_S = 25.0
MEMORY_FILES = pathlib.Path("/dev/shm")
MOST_JOBS = 4  # Eleven processes each.


def parse_seeds(text: str) -> list[int]:
    """`3` or `1..20`."""
    first, _, last = text.partition("..")
    return list(range(int(first), int(last or first) + 1))


def default_disks() -> pathlib.Path:
    """A file system in memory, where the machine has one."""
    return MEMORY_FILES if MEMORY_FILES.is_dir() else pathlib.Path(tempfile.gettempdir())


def parse(words: list[str]) -> argparse.Namespace:
    """The command line."""
    parser = argparse.ArgumentParser(prog="tests/soak/run", description=__doc__)
    parser.add_argument("--seeds", type=parse_seeds, default=[1], help="as in 1..20")
    parser.add_argument("--length", type=float, default=30.0, help="seconds of trouble a seed")
    parser.add_argument("--jobs", type=int, default=1, choices=range(1, MOST_JOBS + 1))
    parser.add_argument("--build", type=pathlib.Path, default=pathlib.Path("build-test"))
    parser.add_argument("--plain", action="store_true",
                        help="the product's own binaries: nothing is cut")
    parser.add_argument("--short", action="store_true", help="what CI plays")
    parser.add_argument("--keep", action="store_true", help="the logs also where nothing is found")
    parser.add_argument("--disks", type=pathlib.Path, default=default_disks(),
                        help="where the machines' disks are made; memory, so that no other load"
                             " holds up their syncs")
    parser.add_argument("--disk-load", type=int, default=0, metavar="MB",
                        help="beside the machines' disks so many megabytes are written and synced"
                             " again and again")
    parser.add_argument("--quiet", action="store_true", help="no trouble but endpoints that leave")
    parser.add_argument("--plan", type=pathlib.Path,
                        help="cuts in place of troubles that are drawn, as tests/soak/cuts.plan")
    parser.add_argument("--logs", type=pathlib.Path, help="where the folder of logs is made")
    parser.add_argument("--folder", type=pathlib.Path, help=argparse.SUPPRESS)
    options = parser.parse_args(words)
    options.cuts = tuple(read_plan(options.plan)) if options.plan else ()
    if options.cuts:
        options.length = longest(options.cuts)
    if options.short:
        options.seeds, options.length = list(SHORT_SEEDS), SHORT_LENGTH_S
    if options.cuts and options.plain:
        parser.error("the product's own binaries cannot be cut off")
    return options


def play_in_process(options: argparse.Namespace, folder: pathlib.Path, seed: int) -> bool:
    """Plays a seed in a process of its own, which ends with this one; whether it is clean."""
    command = [sys.executable, str(RUN), "--seeds", str(seed), "--length", str(options.length),
               "--build", str(options.build), "--disks", str(options.disks),
               "--disk-load", str(options.disk_load), "--folder", str(folder / f"seed-{seed}")]
    command += ["--plain"] * options.plain + ["--quiet"] * options.quiet
    command += ["--plan", str(options.plan)] if options.plan else []
    result = subprocess.run(command, text=True, check=False,
                            stdout=subprocess.PIPE, stderr=subprocess.STDOUT,
                            timeout=options.length + 2 * BESIDE_S, preexec_fn=end_with_parent)
    print(result.stdout, end="", flush=True)
    if result.returncode == 0 and not options.keep:
        shutil.rmtree(folder / f"seed-{seed}", ignore_errors=True)
    return result.returncode == 0


def main(words: list[str]) -> int:
    """The exit status."""
    options = parse(words)
    if options.folder:
        programs = Programs(options.build.resolve(), options.plain)
        disks = pathlib.Path(tempfile.mkdtemp(prefix="soak-disks-", dir=options.disks))
        plan = Plan(options.seeds[0], options.length, options.folder, disks, programs,
                    options.quiet, options.cuts)
        with disk_load(disks, options.disk_load):
            return 0 if play_seed(plan) else 1
    folder = pathlib.Path(tempfile.mkdtemp(prefix="soak-", dir=options.logs))
    begin = time.monotonic()
    with ThreadPoolExecutor(options.jobs) as pool:
        clean = list(pool.map(lambda seed: play_in_process(options, folder, seed), options.seeds))
    found = [seed for seed, is_clean in zip(options.seeds, clean) if not is_clean]
    print(f"{len(clean)} seeds in {time.monotonic() - begin:.0f} s:"
          f" {'findings in ' + ', '.join(map(str, found)) if found else 'nothing found'}")
    if not found and not options.keep:
        shutil.rmtree(folder, ignore_errors=True)
    return 1 if found else 0
