#!/usr/bin/env python3
"""Runs clang-tidy over sources; any finding fails.

usage: lint.py [SOURCE...]   all sources of the repository unless given

A source that was clean is not checked again until it, a header that it includes, its compile command, the checks or
clang-tidy change. The results are kept in ~/.cache/wagtailhead-lint; delete that folder to check everything.
"""
import concurrent.futures
import hashlib
import json
import os
import pathlib
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parents[2]
BUILD = ROOT / "build"
CACHE = pathlib.Path(os.environ.get("XDG_CACHE_HOME", pathlib.Path.home() / ".cache")) / "wagtailhead-lint"


def output_of(*command):
    """Returns the standard output of a command."""
    return subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=True).stdout


def dependencies():
    """Returns, by source, the files that its object depends on, as ninja has recorded them."""
    found, files = {}, None
    for line in output_of("ninja", "-C", str(BUILD), "-t", "deps").splitlines():
        if not line.startswith(" "):
            files = [] if line.endswith("(VALID)") else None
        elif files is not None:
            path = (BUILD / line.strip()).resolve()
            files.append(path)
            if path.suffix == ".cpp":
                found[path] = files
    return found


def stamp_of(path):
    """Returns what tells a change of a file: the content in the repository, size and time elsewhere."""
    if path.is_relative_to(ROOT):
        return f"{path.relative_to(ROOT)} {hashlib.sha256(path.read_bytes()).hexdigest()}"
    status = path.stat()
    return f"{path} {status.st_size} {status.st_mtime_ns}"


class Linter:
    """Knows what the check of each source depends on."""

    def __init__(self):
        self.dependencies = dependencies()
        self.commands = {pathlib.Path(entry["file"]): entry["command"].replace(str(ROOT), "")
                         for entry in json.loads((BUILD / "compile_commands.json").read_text(encoding="utf-8"))}
        self.common = output_of("clang-tidy", "--version") + (ROOT / ".clang-tidy").read_text(encoding="utf-8")
        self.stamps = {}

    def key(self, source):
        """Returns the name of the result of a source, or nothing if its dependencies are not known."""
        if source not in self.dependencies or source not in self.commands:
            return None
        parts = [self.common, self.commands[source]]
        for path in self.dependencies[source]:
            if path not in self.stamps:
                self.stamps[path] = stamp_of(path)
            parts.append(self.stamps[path])
        return hashlib.sha256("\n".join(parts).encode()).hexdigest()

    def check(self, source):
        """Checks a source unless it is known to be clean. Returns its findings, or nothing, and whether it ran."""
        key = self.key(source)
        if key and (CACHE / key).exists():
            return None, False
        done = subprocess.run(["clang-tidy", "-p", str(BUILD), "--quiet", str(source)], cwd=ROOT, capture_output=True,
                              text=True, check=False)
        if done.returncode != 0 or done.stdout.strip():
            return done.stdout + done.stderr, True
        if key:
            (CACHE / key).touch()
        return None, True


def main():
    """Checks the sources and returns the exit status."""
    names = sys.argv[1:] or output_of("git", "ls-files", "*.cpp").split()
    CACHE.mkdir(parents=True, exist_ok=True)
    linter = Linter()
    with concurrent.futures.ThreadPoolExecutor(os.cpu_count()) as pool:
        results = list(pool.map(linter.check, [(ROOT / name).resolve() for name in names]))
    findings = [text for text, _ in results if text]
    print("\n".join(findings) + f"lint: {len(results)} sources, {sum(ran for _, ran in results)} checked now, "
          f"{len(findings)} with findings")
    return 1 if findings else 0


if __name__ == "__main__":
    sys.exit(main())
