"""The command line of tools/build-packages."""
import argparse
import os
import pathlib
import shlex
import subprocess
import sys
import tempfile
import tomllib

from . import check, debian, inputs

COMPILER = "g++"


def _arguments(words: list[str]) -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="tools/build-packages", description=__doc__)
    parser.add_argument("deploy", type=pathlib.Path, nargs="+", metavar="DEPLOY", help="deploy files")
    parser.add_argument("--checkout", type=pathlib.Path, help="a checkout in which the one DEPLOY file was built")
    parser.add_argument("--jobs", type=int, default=os.cpu_count() or 1)
    return parser.parse_args(words)


def _configured(command: str, folder: pathlib.Path) -> pathlib.Path:
    """A clean checkout in `folder` in which the first step of the build was run."""
    archive = subprocess.run(["git", "archive", "HEAD"], capture_output=True, check=True)
    subprocess.run(["tar", "-x", "-C", str(folder)], input=archive.stdout, check=True)
    environment = {name: value for name, value in os.environ.items() if not name.startswith("CMAKE_")}
    step = command.split("&&")[0]
    configured = subprocess.run(
        shlex.split(step), cwd=folder, env=environment, capture_output=True, text=True, check=False
    )
    if configured.returncode != 0:
        raise inputs.BuildError(f"{step.strip()}: {configured.stderr.strip()[-500:]}")
    return folder


def _check(deploy: pathlib.Path, checkout: pathlib.Path | None, jobs: int) -> list[str]:
    """The problems of the list in `deploy`."""
    table = tomllib.loads(deploy.read_text())
    command, listed = table.get("build"), table.get("packages")
    if not isinstance(command, str):
        return ["build: expected a command"]
    if not isinstance(listed, list) or not all(isinstance(name, str) for name in listed):
        return ["packages: expected a list of strings"]
    with tempfile.TemporaryDirectory() as temporary:
        folder = checkout or _configured(command, pathlib.Path(temporary))
        found = inputs.Build(folder, command).inputs(jobs)
    owners = debian.Owners()
    owners.learn(entry.path for entry in found)
    needs, unknown = check.needs_of(found, owners)
    checked = check.PackageCheck(debian.installation(), needs, COMPILER, debian.is_empty)
    problems = [f"{path}: read or run by the build, but of no package" for path in unknown]
    problems += checked.problems(listed)
    if not problems:
        direct = [need.package for need in needs if need.is_direct]
        print(f"{deploy}: {len(found)} files of {len(needs)} packages; asked for by the project: {', '.join(direct)}")
        print(f"{deploy}: {len(listed)} packages listed, each missed when it is taken out")
    return problems


def main(words: list[str]) -> int:
    """Checks the deploy files; 1 if a list is wrong, 2 if it can't be checked."""
    options = _arguments(words)
    if options.checkout and len(options.deploy) != 1:
        print("build-packages: --checkout: expected one deploy file with it", file=sys.stderr)
        return 2
    failed = False
    for deploy in options.deploy:
        try:
            problems = _check(deploy, options.checkout, options.jobs)
        except (inputs.BuildError, OSError, tomllib.TOMLDecodeError, subprocess.CalledProcessError) as error:
            print(f"{deploy}: {error}", file=sys.stderr)
            return 2
        for line in problems:
            print(f"{deploy}: packages: {line}", file=sys.stderr)
        failed = failed or bool(problems)
    return 1 if failed else 0
