#!/usr/bin/env python3
# SPDX-License-Identifier: MIT
"""Links and command lines in the pages: files exist, make targets exist, commands are known to the program."""
import pathlib
import re
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent


def main():
	problems = []
	targets = set(re.findall(r"^([a-z-]+):", (ROOT / "Makefile").read_text(), re.M))
	help_text = subprocess.run([ROOT / "build/release/gingerdyke", "--help"], capture_output=True, text=True, check=True).stdout
	commands = set(re.findall(r"^  ([a-z]+) ", help_text, re.M))
	for page in [*ROOT.glob("*.md"), *ROOT.glob("docs/*.md")]:
		text = page.read_text()
		for link in re.findall(r"\]\(([^)#:]+)\)", text):
			if not (page.parent / link).exists():
				problems.append(f"{page.name}: no file {link}")
		for target in re.findall(r"`?make ([a-z-]+)`", text):
			if target not in targets:
				problems.append(f"{page.name}: no target make {target}")
		for command in re.findall(r"`gingerdyke ([a-z]+)", text):
			if command not in commands:
				problems.append(f"{page.name}: no command gingerdyke {command}")
	print("\n".join(problems) or "docs: links, targets and commands are good")
	return 1 if problems else 0


if __name__ == "__main__":
	sys.exit(main())
