"""What a build with CMake reads and runs."""
import concurrent.futures
import dataclasses
import json
import os
import pathlib
import re
import shlex
import subprocess

DEFAULT_LIBRARIES = ("libstdc++.so", "libm.so", "libc.so", "libgcc_s.so.1", "libgcc.a", "crt1.o", "crti.o", "crtbeginS.o")
COMPILER_PARTS = ("cc1plus", "collect2", "as", "ld")
CACHE_ENTRY = re.compile(r"^([^:#/\n][^:\n]*):[A-Z]+=(.*)$", re.MULTILINE)
INCLUDE = re.compile(r"^\s*#\s*include\s*<([^>]+)>", re.MULTILINE)
SOURCE_SUFFIXES = {".cpp", ".h", ".cc", ".hpp"}


class BuildError(RuntimeError):
    """A build that can't be looked at; the message names the place and what was expected."""


@dataclasses.dataclass(frozen=True)
class Input:
    """A file that the build reads or runs; `is_direct` if the project itself asks for it."""

    path: str
    role: str
    is_direct: bool = False


def run(command: list[str], folder: pathlib.Path | None = None) -> str:
    """What `command` prints."""
    result = subprocess.run(command, cwd=folder, capture_output=True, text=True, check=False)
    if result.returncode != 0:
        raise BuildError(f"{shlex.join(command)}: {result.stderr.strip()[-500:]}")
    return result.stdout


def programs_of_command(command: str) -> list[str]:
    """The programs that a shell's command starts."""
    return list(dict.fromkeys(shlex.split(part)[0] for part in command.split("&&")))


def build_folder(command: str) -> str:
    """The folder that the build's first step configures."""
    words = shlex.split(command.split("&&")[0])
    if "-B" not in words[:-1]:
        raise BuildError(f"build: {command}: expected cmake with -B FOLDER")
    return words[words.index("-B") + 1]


def read_cache(text: str) -> dict[str, str]:
    """The entries of a CMakeCache.txt."""
    return dict(CACHE_ENTRY.findall(text))


def parse_dependency_file(text: str) -> list[str]:
    """The files named by a compiler's dependency file."""
    _, _, files = text.replace("\\\n", " ").partition(": ")
    return files.split()


def preprocessing_command(command: str) -> list[str]:
    """The command that lists what a compiler's command reads, in place of compiling it."""
    words = shlex.split(command)
    if "-o" in words:
        position = words.index("-o")
        del words[position : position + 2]
    return [word for word in words if word != "-c"] + ["-M", "-MT", "object"]


def parse_cmake_files(text: str) -> list[str]:
    """The files outside the project that Makefile.cmake says CMake was run on."""
    listed = text.partition("CMAKE_MAKEFILE_DEPENDS")[2].partition(")")[0]
    return [path for path in re.findall(r'"([^"]+)"', listed) if path.startswith("/")]


class Build:
    """A build folder of CMake with makefiles, configured and perhaps built."""

    def __init__(self, checkout: pathlib.Path, command: str):
        self._checkout = checkout.resolve()
        self._command = command
        self._folder = self._checkout / build_folder(command)
        cache = self._folder / "CMakeCache.txt"
        if not cache.is_file():
            raise BuildError(f"{cache}: missing; expected a folder that CMake has configured")
        self._cache = read_cache(cache.read_text())
        self._compiler = self._cache["CMAKE_CXX_COMPILER"]

    def inputs(self, jobs: int) -> list[Input]:
        """All that the build reads and runs outside the project."""
        found = [*self._programs(), *self._cmake_files(), *self._modules(), *self._headers(jobs), *self._libraries()]
        return [entry for entry in found if not self._is_own(entry.path)]

    def _is_own(self, path: str) -> bool:
        return pathlib.Path(path).resolve().is_relative_to(self._checkout)

    def _programs(self) -> list[Input]:
        started = programs_of_command(self._command)
        direct = [run(["sh", "-c", f"command -v {shlex.quote(name)}"]).strip() for name in started]
        direct += [self._cache["CMAKE_MAKE_PROGRAM"], self._compiler]
        if self._module_names():
            direct.append(self._cache["PKG_CONFIG_EXECUTABLE"])
        parts = [run([self._compiler, f"-print-prog-name={name}"]).strip() for name in COMPILER_PARTS]
        parts = [run(["sh", "-c", f"command -v {shlex.quote(part)}"]).strip() for part in parts]
        parts += [self._cache["CMAKE_AR"], self._cache["CMAKE_RANLIB"]]
        return [Input(path, "program", True) for path in direct] + [Input(path, "program") for path in parts]

    def _cmake_files(self) -> list[Input]:
        text = (self._folder / "CMakeFiles" / "Makefile.cmake").read_text()
        packages = {value for name, value in self._cache.items() if name.endswith("_DIR") and value.startswith("/")}
        files = parse_cmake_files(text)
        return [Input(path, "CMake file", str(pathlib.Path(path).parent) in packages) for path in files]

    def _module_names(self) -> list[str]:
        return [value for name, value in self._cache.items() if name.endswith("_MODULE_NAME") and value]

    def _modules(self) -> list[Input]:
        if not self._module_names():
            return []
        tool = self._cache["PKG_CONFIG_EXECUTABLE"]
        found, waiting = {}, [(name, True) for name in self._module_names()]
        while waiting:
            name, is_direct = waiting.pop(0)
            if name in found:
                continue
            folder = run([tool, "--variable=pcfiledir", name]).strip()
            found[name] = Input(f"{folder}/{name}.pc", "pkg-config file", is_direct)
            needed = run([tool, "--print-requires", "--print-requires-private", name])
            waiting += [(line.split()[0], False) for line in needed.splitlines() if line.strip()]
        return list(found.values())

    def _compile_commands(self) -> list[dict]:
        return json.loads((self._folder / "compile_commands.json").read_text())

    def _dependency_texts(self, jobs: int) -> list[str]:
        """What the compiler says it read: as it left it when it built, else asked for now."""
        left = list(self._folder.rglob("*.o.d"))
        if left:
            return [path.read_text() for path in left]
        with concurrent.futures.ThreadPoolExecutor(jobs) as pool:
            return list(pool.map(self._ask_compiler, self._compile_commands()))

    @staticmethod
    def _ask_compiler(entry: dict) -> str:
        return run(preprocessing_command(entry["command"]), pathlib.Path(entry["directory"]))

    def _headers(self, jobs: int) -> list[Input]:
        own, outside = set(), set()
        for text in self._dependency_texts(jobs):
            for path in parse_dependency_file(text):
                (own if self._is_own(path) or not path.startswith("/") else outside).add(path)
        asked = self._included_names()
        return [Input(path, "header", any(path.endswith("/" + name) for name in asked)) for path in sorted(outside)]

    def _included_names(self) -> set[str]:
        """The headers that the sources of this build include by name, with <>."""
        sources = {pathlib.Path(entry["file"]) for entry in self._compile_commands()}
        folders = {source.parent for source in sources}
        files = {path for folder in folders for path in folder.iterdir() if path.suffix in SOURCE_SUFFIXES}
        return {name for path in files for name in INCLUDE.findall(path.read_text())}

    def _libraries(self) -> list[Input]:
        names = set(DEFAULT_LIBRARIES)
        paths = set()
        for script in self._folder.rglob("link.txt"):
            for word in shlex.split(script.read_text()):
                if word.startswith("-l"):
                    names.add(f"lib{word[2:]}.so")
                elif word.startswith("/") and re.search(r"\.(so|a)$", word):
                    paths.add(word)
        paths |= {run([self._compiler, f"-print-file-name={name}"]).strip() for name in names}
        return [Input(os.path.normpath(path), "library") for path in sorted(paths)]
