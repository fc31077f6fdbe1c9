"""Site files, and variants of them made by a list of edits."""
import copy
import dataclasses
import pathlib
import shutil
import tomllib

from . import toml_writer

VARIANT_KEYS = {
    "name", "base", "zones", "core_disks", "stores", "tolerance", "set", "machines",
    "endpoints", "services", "lots", "tenants",
}
TENANTS_CONTRACT = "tenants"
FRONT = "front"
STORE = "store"


class EditError(ValueError):
    """An edit list that can't be applied; the message names the place and what was expected."""


@dataclasses.dataclass(frozen=True)
class Variant:
    """One entry of an edit list: what is changed in the site file it is applied to."""

    name: str
    edits: dict

    @property
    def base(self) -> str:
        """The name of the only site that it is meant for, or nothing."""
        return self.edits.get("base", "")


def load(path: pathlib.Path) -> dict:
    """The site file at `path`."""
    with open(path, "rb") as file:
        return tomllib.load(file)


def load_variants(path: pathlib.Path) -> list[Variant]:
    """The edit lists of `path`, each checked for keys that nobody knows."""
    with open(path, "rb") as file:
        entries = tomllib.load(file).get("variant", [])
    variants = []
    for number, entry in enumerate(entries, start=1):
        where = f"{path}: variant {number}"
        if not isinstance(entry.get("name"), str):
            raise EditError(f"{where}: name: expected a string")
        unknown = sorted(set(entry) - VARIANT_KEYS)
        if unknown:
            raise EditError(f"{where}: {unknown[0]}: expected one of {', '.join(sorted(VARIANT_KEYS))}")
        variants.append(Variant(entry["name"], entry))
    return variants


def _set_path(site: dict, path: str, value) -> None:
    """Replaces the value at a dotted path, which has to exist: a misspelt edit would change nothing."""
    *parents, last = path.split(".")
    table = site
    for name in parents:
        table = table.get(name)
        if not isinstance(table, dict):
            raise EditError(f"set: {path}: expected a value of the site file")
    if last not in table:
        raise EditError(f"set: {path}: expected a value of the site file")
    table[last] = value


def _is_core(machine: dict) -> bool:
    return machine["class"] == FRONT and "disk" in machine


def _is_plain_front(machine: dict) -> bool:
    return machine["class"] == FRONT and "disk" not in machine


def _is_store(machine: dict) -> bool:
    return machine["class"] == STORE


GROUPS = {"core": _is_core, "edge": _is_plain_front, "store": _is_store}


def _deal(total: int, places: int) -> list[int]:
    """`total` things dealt over `places`, the first ones getting what is left over."""
    share, rest = divmod(total, places)
    return [share + (1 if place < rest else 0) for place in range(places)]


def _in_zones(entries: list, renamed: dict) -> list:
    """The entries of the zones kept, and for each zone that is new those of the zone it is modelled on."""
    result = []
    for zone, model in renamed.items():
        for entry in entries:
            if entry.get("zone") == model:
                result.append({**copy.deepcopy(entry), "zone": zone})
    return result


def _set_zones(site: dict, count: int) -> None:
    """Keeps the first zones of the site, or adds zones that are like its first ones."""
    if count < 1:
        raise EditError(f"zones: {count}: expected 1 or more")
    old = site["zones"]
    names = [zone["name"] for zone in old]
    renamed = {name: name for name in names[:count]}
    for number in range(len(names), count):
        renamed[f"added-hall-{number + 1}"] = names[number % len(names)]
    site["zones"] = [{"name": zone, "region": old[0]["region"]} for zone in renamed]
    site["machines"] = _in_zones(site["machines"], renamed)
    site["traffic"] = _in_zones(site["traffic"], renamed)
    for service in site["services"]:
        service["servers"] = _in_zones(service["servers"], renamed)
    for table in ("cloud",):
        if "zone" in site.get(table, {}):
            site[table]["zone"] = next(iter(renamed))
    for day in site.get("day", []):
        day["traffic"] = _in_zones(day["traffic"], renamed)
        day.pop("small", None)
        for entry in day.get("plan", []) + day.get("faults", []):
            for key in ("zone", "to_zone"):
                entry.pop(key, None)


def _set_group_size(site: dict, group: str, total: int) -> None:
    """Deals `total` machines of a group over the zones; a zone left without any loses its entry."""
    belongs = GROUPS[group]
    machines = site["machines"]
    model = next((machine for machine in machines if belongs(machine)), None)
    if model is None:
        raise EditError(f"{group}: expected a site that has such machines")
    sizes = _deal(total, len(site["zones"]))
    changed = []
    for zone, size in zip(site["zones"], sizes):
        own = [machine for machine in machines if machine["zone"] == zone["name"]]
        first = next((machine for machine in own if belongs(machine)), {**model, "zone": zone["name"]})
        if size:
            changed.append({**copy.deepcopy(first), "count": size})
        changed += [machine for machine in own if not belongs(machine)]
    site["machines"] = changed


def _edit_fields(table: dict, fields: dict, where: str, what: str) -> None:
    """Sets fields that `table` has; a field that is a table itself is changed field by field."""
    for name, value in fields.items():
        if name not in table:
            raise EditError(f"{where}: {name}: expected a field of such a {what}")
        table[name] = {**table[name], **value} if isinstance(value, dict) else value


def _edit_machines(site: dict, edits: dict) -> None:
    """Sets fields of all machines of a group."""
    for group, fields in edits.items():
        if group not in GROUPS:
            raise EditError(f"machines: {group}: expected one of {', '.join(GROUPS)}")
        for machine in filter(GROUPS[group], site["machines"]):
            _edit_fields(machine, fields, f"machines: {group}", "machine")


def _set_endpoints(site: dict, total: int) -> None:
    """Deals `total` endpoints of each service over the zones that it has some in."""
    for service in site["services"]:
        servers = service["servers"]
        if total < len(servers):
            raise EditError(f"endpoints: {total}: expected {len(servers)} or more, one a zone")
        for server, count in zip(servers, _deal(total, len(servers))):
            server["count"] = count


def _edit_lots(site: dict, fields: dict) -> None:
    """Sets fields of the lots of all batch kinds of request."""
    batch_kinds = [kind for kind in site.get("classes", []) if "lot" in kind]
    if not batch_kinds:
        raise EditError("lots: expected a site that has batch jobs")
    for kind in batch_kinds:
        _edit_fields(kind["lot"], fields, "lots", "lot")


def _set_tenants(site: dict, count: int) -> None:
    """Gives a site so many tenants without quotas on requests; 0: it has none."""
    contracts = [name for name in site["contracts"] if name != TENANTS_CONTRACT]
    site.pop("tenants", None)
    if count:
        contracts.append(TENANTS_CONTRACT)
        site["tenants"] = {"count": count, "quota_x": 0.0}
    site["contracts"] = contracts


def apply(site: dict, variant: Variant) -> dict:
    """A copy of `site` with the edits of `variant` made."""
    result = copy.deepcopy(site)
    edits = variant.edits
    result["name"] = f"{site['name']}-{variant.name}"
    for day in result.get("day", []):
        day.pop("small", None)
    if "zones" in edits:
        _set_zones(result, edits["zones"])
    if "core_disks" in edits:
        _set_group_size(result, "core", edits["core_disks"])
    if "stores" in edits:
        _set_group_size(result, "store", edits["stores"])
    if "tolerance" in edits:
        _set_path(result, "tolerate.machines", edits["tolerance"])
    for path, value in edits.get("set", {}).items():
        _set_path(result, path, value)
    _edit_machines(result, edits.get("machines", {}))
    for service in result["services"]:
        _edit_fields(service, edits.get("services", {}), "services", "service")
    if "endpoints" in edits:
        _set_endpoints(result, edits["endpoints"])
    if "lots" in edits:
        _edit_lots(result, edits["lots"])
    if "tenants" in edits:
        _set_tenants(result, edits["tenants"])
    return result


def write(site: dict, base: pathlib.Path, folder: pathlib.Path) -> pathlib.Path:
    """Writes `site` into `folder`, with the file of wire names that its base has beside it."""
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / f"{site['name']}.toml"
    path.write_text(toml_writer.dumps(site, ("day",)))
    wire = site.get("wire")
    if wire:
        shutil.copy(base.parent / wire, folder / wire)
    return path
