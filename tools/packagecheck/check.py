"""Whether a list of packages holds what a build needs, and nothing else."""
import dataclasses

from .debian import Installation


@dataclasses.dataclass(frozen=True)
class Need:
    """A package that the build needs, one file that shows it, and whether the project itself asks for it."""

    package: str
    path: str
    role: str
    is_direct: bool


def needs_of(inputs: list, owners) -> tuple[list[Need], list[str]]:
    """The packages of a build's inputs, each once, and the files that belong to none."""
    found, unknown = {}, []
    for entry in inputs:
        packages = owners.of(entry.path)
        if not packages:
            unknown.append(entry.path)
        for number, name in enumerate(packages):
            is_direct = entry.is_direct and number == 0
            if name not in found or (is_direct and not found[name].is_direct):
                found[name] = Need(name, entry.path, entry.role, is_direct)
    return sorted(found.values(), key=lambda need: need.package), sorted(set(unknown))


class PackageCheck:
    """Compares lists of packages with what a build needs."""

    def __init__(self, installed: Installation, needs: list[Need], compiler: str, is_empty):
        self._installed = installed
        self._needs = needs
        self._compiler = compiler
        self._is_empty = is_empty
        self._base = installed.base()

    def _stood_for(self, listed: list[str]) -> set[str]:
        """What the list names: its packages, what the empty ones among them depend on (`libboost-dev`), and
        the compiler's own packages where the compiler is listed."""
        named = set(listed)
        for name in listed:
            if self._is_empty(name):
                named |= self._installed.dependencies(name)
        if self._compiler in listed:
            named |= self._installed.closure([self._compiler])
        return named

    def missing(self, listed: list[str]) -> list[Need]:
        """The needs that `listed` doesn't meet: not brought by hard dependencies, or asked for by the project
        itself and not listed."""
        here = [name for name in listed if name in self._installed]
        brought = self._installed.closure(here) | self._base
        named = self._stood_for(here) | self._base
        return [need for need in self._needs if need.package not in (named if need.is_direct else brought)]

    def problems(self, listed: list[str]) -> list[str]:
        """What is wrong with `listed`, one line each."""
        lines = [f"{name}: listed, but not installed here, so it can't be checked" for name in listed if name not in self._installed]
        for need in self.missing(listed):
            how = "asked for by the project itself, so it has to be listed" if need.is_direct else "not brought by the list"
            lines.append(f"{need.package}: {how} ({need.role} {need.path})")
        for name in listed:
            rest = [other for other in listed if other != name]
            if name in self._installed and len(self.missing(rest)) == len(self.missing(listed)):
                lines.append(f"{name}: listed, but the build is complete without it")
        return lines
