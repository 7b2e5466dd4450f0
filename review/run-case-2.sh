#!/usr/bin/env bash
# run-case-2.sh NUMBER SCRIPT: plays a script of the second review into review/NUMBER. It starts the
# stand-ins and what they ask for, and ends it all. Exits with 1 if the rule was broken, 0 if it
# held, 2 if the script could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/.." || exit 2
if [ ! -x target/goldcrest-router ] || [ ! -x target/review-2/standins-2 ]; then
	echo "build first: the build line of deploy/system.toml, then review/build-2.sh" >&2
	exit 2
fi
dir=$(mktemp -d) || exit 2
started=()
finish() {
	kill -KILL "${started[@]}" 2>/dev/null
	while kill -0 "${started[@]}" 2>/dev/null; do sleep 0.01; done
	rm -rf "$dir"
}
trap 'finish; exit 2' HUP INT TERM
mkfifo "$dir/starts" && exec 3<>"$dir/starts" || exit 2
target/review-2/standins-2 "$2" "review/$1" "$dir" 3>&- &
script=$!
started+=("$script")
while kill -0 "$script" 2>/dev/null; do
	if read -r -t 0.05 -u 3 number command; then
		# shellcheck disable=SC2086 # the words of the command
		$command >"$dir/$number.log" 2>&1 3>&- &
		started+=("$!")
		disown "$!" # so that the shell does not report its end
		echo "$!" >"$dir/$number.new" && mv "$dir/$number.new" "$dir/$number.pid"
	fi
done
wait "$script"
code=$?
finish
[ "$code" -le 1 ] || code=2
exit "$code"
