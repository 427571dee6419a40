#!/usr/bin/env bash
# SPDX-License-Identifier: MIT
# 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/gingerdyke ] && [ -x target/review/case-3 ] || exit 2
timeout --kill-after=2 110 target/review/case-3
result=$?
[ "$result" -le 1 ] && exit "$result"
exit 2
