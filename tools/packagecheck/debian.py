"""Debian packages: what they depend on, and which of them a file comes from."""
import dataclasses
import pathlib
import re
import subprocess

QUERY_FIELDS = ("Package", "Essential", "Priority", "Provides", "Pre-Depends", "Depends", "db:Status-Status")
FILES_A_CALL = 500
DOCUMENTATION = ("/usr/share/doc", "/usr/share/lintian")


@dataclasses.dataclass(frozen=True)
class Package:
    """An installed package and its hard dependencies, each a tuple of alternatives."""

    name: str
    depends: tuple = ()
    provides: tuple = ()
    is_base: bool = False


def parse_relation(text: str) -> tuple:
    """The packages named by a dependency field: one tuple of alternatives for each part."""
    parts = []
    for part in filter(None, (piece.strip() for piece in text.split(","))):
        names = (re.match(r"[a-z0-9][a-z0-9+.-]*", word.strip()) for word in part.split("|"))
        parts.append(tuple(name.group() for name in names if name))
    return tuple(parts)


def parse_records(text: str) -> list[Package]:
    """The packages that `dpkg-query` printed, one a line, its fields divided by tabs."""
    packages = []
    for line in text.splitlines():
        name, essential, priority, provides, pre_depends, depends, status = line.split("\t")
        if status != "installed":
            continue
        relations = parse_relation(pre_depends) + parse_relation(depends)
        provided = tuple(name for names in parse_relation(provides) for name in names)
        is_base = essential == "yes" or priority == "required"
        packages.append(Package(name, relations, provided, is_base))
    return packages


class Installation:
    """The packages of a machine, by name."""

    def __init__(self, packages: list[Package]):
        self._packages = {package.name: package for package in packages}
        self._providers = {}
        for package in packages:
            for name in package.provides:
                self._providers.setdefault(name, package.name)

    def __contains__(self, name: str) -> bool:
        return name in self._packages

    def _chosen(self, alternatives: tuple) -> str | None:
        """The package that meets a dependency here: the first alternative that is installed or provided."""
        for name in alternatives:
            if name in self._packages:
                return name
            if name in self._providers:
                return self._providers[name]
        return None

    def closure(self, names) -> frozenset[str]:
        """`names` and all that they depend on; recommendations don't count."""
        found = set()
        waiting = [name for name in names if name in self._packages]
        while waiting:
            name = waiting.pop()
            if name in found:
                continue
            found.add(name)
            chosen = map(self._chosen, self._packages[name].depends)
            waiting += [dependency for dependency in chosen if dependency]
        return frozenset(found)

    def dependencies(self, name: str) -> frozenset[str]:
        """What the package `name` depends on itself."""
        chosen = map(self._chosen, self._packages[name].depends)
        return frozenset(dependency for dependency in chosen if dependency)

    def base(self) -> frozenset[str]:
        """What the smallest installation has: essential and required packages and all they depend on."""
        return self.closure(name for name, package in self._packages.items() if package.is_base)


def installation() -> Installation:
    """The packages of this machine."""
    form = "\\t".join("${" + field + "}" for field in QUERY_FIELDS) + "\\n"
    result = subprocess.run(["dpkg-query", "-W", "-f", form], capture_output=True, text=True, check=True)
    return Installation(parse_records(result.stdout))


def is_empty(name: str) -> bool:
    """Whether a package holds nothing but documentation: it only stands for what it depends on."""
    listing = subprocess.run(["dpkg-query", "-L", name], capture_output=True, text=True, check=True)
    paths = [pathlib.Path(line) for line in listing.stdout.splitlines() if line.startswith("/")]
    files = [path for path in paths if not path.is_dir() or path.is_symlink()]
    return all(str(path).startswith(DOCUMENTATION) for path in files)


def spellings(path: str) -> list[str]:
    """The names under which a package may hold `path`, where /lib and /bin are links into /usr."""
    if path.startswith("/usr/"):
        return [path, path.removeprefix("/usr")]
    return [path, "/usr" + path]


def links_of(path: str) -> list[str]:
    """`path` and each file that it leads to, link by link."""
    chain = []
    current = pathlib.Path(path)
    while str(current) not in chain:
        parent = current.parent.resolve()
        chain.append(str(parent / current.name))
        current = parent / current.name
        if current.is_symlink():
            current = parent / current.readlink()
    return chain


class Owners:
    """Which packages files come from."""

    def __init__(self):
        self._owners = {}

    def learn(self, paths) -> None:
        """Asks dpkg about `paths`, all at once."""
        asked = sorted({name for path in paths for link in links_of(path) for name in spellings(link)})
        for start in range(0, len(asked), FILES_A_CALL):
            batch = asked[start : start + FILES_A_CALL]
            result = subprocess.run(["dpkg-query", "-S", *batch], capture_output=True, text=True, check=False)
            for line in result.stdout.splitlines():
                packages, separator, path = line.partition(": ")
                if separator and not line.startswith("diversion by"):
                    self._owners[path] = packages.split(",")[0].split(":")[0].strip()

    def of(self, path: str) -> list[str]:
        """The packages of `path` and of the files that it leads to, its own one first."""
        names = [name for link in links_of(path) for name in spellings(link)]
        found = [self._owners[name] for name in names if name in self._owners]
        return list(dict.fromkeys(found))
