#!/usr/bin/env bash
# run-case-2.sh NUMBER SCRIPT: plays a script of the second review into review/NUMBER. Exits with
# 1 if the rule was broken, 0 if it held, 2 if the script could not run.
cd "$(dirname "$0")/.." || exit 2
if [ ! -x target/goldcrest-router ] || [ ! -x target/review-2/standins-2 ]; then
	echo "build first: the build line of deploy/system.toml, then review/build-2.sh" >&2
	exit 2
fi
timeout -k 2 110 target/review-2/standins-2 "$2" "review/$1"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
