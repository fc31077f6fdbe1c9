"""The command line of tools/play-days."""
import argparse
import pathlib
import sys
import tempfile

from . import bench, days, long_days, sites, table

DEPLOY = pathlib.Path("deploy")
PARTNERS = 4


def _arguments(words: list[str]) -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="tools/play-days", description=__doc__)
    parser.add_argument("bench", type=pathlib.Path, help="the bench's program")
    parser.add_argument("sites", type=pathlib.Path, nargs="+", metavar="SITE", help="site files")
    parser.add_argument("--days", type=pathlib.Path, default=DEPLOY / "days", help="days by hand, and kinds.toml")
    parser.add_argument("--variants", type=pathlib.Path, default=DEPLOY / "sites" / "variants.toml")
    parser.add_argument("--play", default="days,kinds,hunt", help="of days, kinds, long, hunt, variants; with commas")
    parser.add_argument("--only", default="", help="only days whose names hold this")
    parser.add_argument("--variant", default="", metavar="NAME", help="only variants whose names hold this")
    parser.add_argument("--on-variants", default="hunt", help="of days, kinds, long, hunt: what variants play; with commas")
    parser.add_argument("--most", type=int, default=0, metavar="N", help="at most N days made from the kinds a site")
    parser.add_argument("--offset", type=int, default=0, help="which of them, where --most leaves some out")
    parser.add_argument("--partners", type=int, default=PARTNERS, help="kinds that each is paired with")
    parser.add_argument("--hunt", type=int, default=10, metavar="N", help="days of hunt a site and a variant")
    parser.add_argument("--long", type=int, default=4, metavar="N", help="long days a site")
    parser.add_argument("--length", type=float, default=92.0, metavar="SECONDS", help="of a long day")
    parser.add_argument("--seed", type=int, default=1, help="of the first long day; the next ones count on")
    parser.add_argument("--jobs", type=int, default=4, help="cores to use")
    parser.add_argument("--why", default="Days of ours", help="a line for the journal")
    parser.add_argument("--write", type=pathlib.Path, help="only write the site files into this folder")
    return parser.parse_args(words)


def _own_days(options: argparse.Namespace, parts: set[str], known: list[str], length_s: float) -> list[days.Day]:
    """The days that are to be played on a site whose kinds of trouble are `known`."""
    chosen = []
    if "days" in parts:
        written = sorted(path for path in options.days.glob("*.toml") if path.name != "kinds.toml")
        chosen += [days.on_site(days.load_day(path), set(known)) for path in written]
    if "kinds" in parts:
        listed = days.load_kinds(options.days / "kinds.toml")
        kinds = [listed.get(name, days.Kind(name)) for name in known]
        made = days.generated(kinds, length_s, options.partners)
        chosen += days.spread([day for day in made if options.only in day.name], options.most, options.offset)
    return [day for day in chosen if options.only in day.name]


def _long_days(options: argparse.Namespace, known: list[str]) -> list[days.Day]:
    listed = days.load_kinds(options.days / "kinds.toml")
    kinds = [listed.get(name, days.Kind(name)) for name in known]
    seeds = range(options.seed, options.seed + options.long)
    return [long_days.long_day(kinds, options.length, seed) for seed in seeds]


def _play_long(player: bench.Bench, path: pathlib.Path, options: argparse.Namespace, folder: pathlib.Path) -> list:
    """The long days, on a copy of the site whose days are that long."""
    site = sites.load(path)
    known = days.kinds_of_site(player.kinds(path))
    longer = {**site, "length_s": options.length}
    written = sites.write(_with_days(longer, _long_days(options, known)), path, folder / "long")
    return [] if options.write else [player.score(written, site["name"])]


def _with_days(site: dict, own: list[days.Day]) -> dict:
    return {**site, "day": [days.for_site(day, site) for day in own]}


def _play_parts(
    player: bench.Bench, path: pathlib.Path, parts: set[str], options: argparse.Namespace, folder: pathlib.Path
) -> list:
    """The days, long days and hunts among `parts`, on the site at `path`."""
    site = sites.load(path)
    known = days.kinds_of_site(player.kinds(path))
    own = _own_days(options, parts, known, site["length_s"])
    plays = []
    if own:
        written = sites.write(_with_days(site, own), path, folder / "days")
        if not options.write:
            plays.append(player.score(written, site["name"]))
    if "long" in parts and options.long:
        plays += _play_long(player, path, options, folder)
    if "hunt" in parts and options.hunt and not options.write:
        plays.append(player.hunt(path, site["name"], options.hunt))
    return plays


def _play_site(player: bench.Bench, path: pathlib.Path, options: argparse.Namespace, folder: pathlib.Path) -> list:
    parts = set(options.play.split(","))
    plays = _play_parts(player, path, parts, options, folder)
    if "variants" in parts:
        plays += _play_variants(player, path, options, folder)
    return plays


def _play_variants(player: bench.Bench, path: pathlib.Path, options: argparse.Namespace, folder: pathlib.Path) -> list:
    site = sites.load(path)
    parts = set(options.on_variants.split(","))
    plays = []
    for variant in sites.load_variants(options.variants):
        if options.variant not in variant.name or variant.base not in ("", site["name"]):
            continue
        written = sites.write(sites.apply(site, variant), path, folder / "variants")
        plays += _play_parts(player, written, parts, options, folder / "variants")
    return plays


def _report(plays: list[bench.Play], known: set[str], names_kinds: bool) -> bool:
    clean = table.report(plays)
    if names_kinds:
        missing = table.never_played(known, plays)
        print(f"kinds never played: {', '.join(missing) or 'none'}")
    return clean


def main(words: list[str]) -> int:
    """Plays what the arguments ask for; 1 if something broke, 2 if something is wrong with the input."""
    options = _arguments(words)
    player = bench.Bench(options.bench, options.jobs, options.why)
    plays, known = [], set()
    with tempfile.TemporaryDirectory() as temporary:
        folder = options.write or pathlib.Path(temporary)
        try:
            for path in options.sites:
                plays += _play_site(player, path, options, folder)
                known |= set(days.kinds_of_site(player.kinds(path)))
        except (days.DayError, sites.EditError, OSError) as error:
            print(f"play-days: {error}", file=sys.stderr)
            return 2
    if options.write:
        return 0
    return 0 if _report(plays, known, "kinds" in options.play) else 1
