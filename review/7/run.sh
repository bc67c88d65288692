#!/bin/bash
# The case of this folder: 1: the rule was broken, 0: it held, 2: the case could not run. With TROUBLE=0 without the
# disruption. Needs the build of the deploy file and review/build-2.sh.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
command=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/balancer.toml)
program=build/review-2/case-$(basename "$folder")
[ -n "$command" ] && [ -x "$program" ] || exit 2
timeout --kill-after=2 110 "$program" "$folder/record.txt" "$command"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
