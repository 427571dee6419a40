#!/usr/bin/env bash
# SPDX-License-Identifier: MIT
exec python3 "$(dirname "$0")/case.py"
