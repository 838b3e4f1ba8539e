#!/usr/bin/env python3
"""Runs clang-tidy on the given sources unless they were clean before.

What the linter reads is hashed: the source as preprocessed with comments, the
checks and the linter's version. Paths are hashed relative to the checkout, so
that its worktrees can share results. Hashes of clean sources are kept in
build/lint.
"""
import hashlib
import json
import pathlib
import shlex
import shutil
import subprocess
import sys

BUILD = pathlib.Path("build")
CLEAN = BUILD / "lint"
PREPROCESSOR = "clang++"


def compile_commands():
    """Returns the compile arguments by source path."""
    entries = json.loads((BUILD / "compile_commands.json").read_text())
    return {
        pathlib.Path(entry["file"]).resolve(): shlex.split(entry["command"])
        for entry in entries
    }


def fingerprint(source, arguments):
    """Returns the hash of what the linter reads, or None if it can't be told."""
    kept = []
    skip = False
    for argument in arguments[1:]:
        if skip or argument == "-c":
            skip = False
        elif argument in ("-o", "-MF", "-MT"):
            skip = True
        else:
            kept.append(argument)
    if shutil.which(PREPROCESSOR) is None:
        return None
    read = subprocess.run(
        [PREPROCESSOR, *kept, "-E", "-C"], cwd=BUILD, capture_output=True
    )
    if read.returncode != 0:
        return None
    checkout = str(pathlib.Path.cwd()).encode()
    digest = hashlib.sha256(read.stdout.replace(checkout, b"."))
    digest.update(pathlib.Path(".clang-tidy").read_bytes())
    digest.update(
        subprocess.run(["clang-tidy", "--version"], capture_output=True).stdout
    )
    digest.update(pathlib.Path(source).read_bytes())
    return digest.hexdigest()


def lint(source, commands):
    """Returns whether the source is clean."""
    arguments = commands.get(pathlib.Path(source).resolve())
    mark = None
    if arguments:
        digest = fingerprint(source, arguments)
        mark = CLEAN / digest if digest else None
    if mark and mark.exists():
        return True
    result = subprocess.run(
        ["clang-tidy", "-p", str(BUILD), "--quiet", source],
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
        text=True,
    )
    sys.stdout.write(result.stdout)
    clean = result.returncode == 0 and not result.stdout.strip()
    if clean and mark:
        CLEAN.mkdir(parents=True, exist_ok=True)
        mark.touch()
    return result.returncode == 0


def main():
    commands = compile_commands()
    results = [lint(source, commands) for source in sys.argv[1:]]
    return 0 if all(results) else 1


if __name__ == "__main__":
    sys.exit(main())
