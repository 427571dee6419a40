#!/usr/bin/env bash
# SPDX-License-Identifier: MIT
# Builds the stand-ins of the cases. Run after the build of deploy/system.toml, from any folder.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/*/case.cpp; do
	number=$(basename "$(dirname "$source")")
	g++ -std=c++20 -O1 -pthread -o "target/review/case-$number" "$source"
done
