#!/bin/sh
# run-case.sh CASE RECORD runs one case: it starts the stand-ins and then the routers with the
# command of the deploy file, and ends them all. It exits with 1 if the rule was broken, 0 if it
# held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
max_fds=4100 # MaxFds of the sites' sheets
cd "$(dirname "$0")/.." || exit 2
if [ ! -x target/goldcrest-router ] || [ ! -x review/bin/platform ]; then
	echo "build with the line of deploy/system.toml and review/build.sh first" >&2
	exit 2
fi
dir=$(mktemp -d) || exit 2
started=
finish() {
	for pid in $started; do
		kill -KILL "$pid" 2>/dev/null
	done
	wait 2>/dev/null
	rm -rf "$dir"
}
trap 'finish; exit 2' HUP INT TERM

review/bin/platform "$1" "$2" "$dir" &
platform=$!
started=$platform
while [ ! -e "$dir/start" ] && kill -0 "$platform" 2>/dev/null; do
	sleep 0.1
done
if [ -e "$dir/start" ]; then
	while read -r name; do
		(ulimit -n "$max_fds" && exec target/goldcrest-router -settings "$dir/$name.ini" -log-format json) >"$dir/$name.log" 2>&1 &
		started="$started $!"
		echo "$!" >"$dir/$name.pid"
	done <"$dir/start"
fi
wait "$platform"
result=$?
finish
exit "$result"
