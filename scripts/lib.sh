# Functions shared by the scripts: start processes, wait for conditions, stop the
# started processes. A script that sources this file sets RUN, the directory of
# its settings and logs, and BIN, the directory of the binaries.

PIDS=()
FAILED=0

# start NAME BINARY: starts the binary with $RUN/NAME.ini and sets PID to its
# process id.
start() {
	"$BIN/$2" -settings "$RUN/$1.ini" >"$RUN/$1.log" 2>"$RUN/$1.err" &
	PID=$!
	PIDS+=("$PID")
}

# free_base BASE: prints the first of BASE, BASE+100, ... at which 80 consecutive
# ports on 127.0.0.1 have no listener, so that two runs on one machine do not use
# the same ports.
free_base() {
	local base port
	for ((base = $1; base < $1 + 1000; base += 100)); do
		for ((port = base; port < base + 80; port++)); do
			(exec 3<>"/dev/tcp/127.0.0.1/$port") 2>/dev/null && continue 2
		done
		echo "$base"
		return
	done
	return 1
}

# stop_all stops the started processes by their ids in reverse order, so that
# entries and sides stop before the stand-ins on which they depend.
stop_all() {
	local i pid
	for ((i = ${#PIDS[@]} - 1; i >= 0; i--)); do
		pid=${PIDS[$i]}
		kill -TERM "$pid" 2>/dev/null || true
		ended "$pid" 10 || kill -KILL "$pid" 2>/dev/null || true
	done
}

# ended PID SECONDS: waits until the process has ended; fails after SECONDS.
ended() {
	local end=$((SECONDS + $2))
	while kill -0 "$1" 2>/dev/null; do
		((SECONDS < end)) || return 1
		sleep 0.05
	done
}

# wait_for SECONDS TEXT COMMAND...: waits until the command succeeds; fails after
# SECONDS.
wait_for() {
	local end=$((SECONDS + $1)) text=$2
	shift 2
	until "$@" >/dev/null 2>&1; do
		if ((SECONDS >= end)); then
			echo "   timed out: $text"
			return 1
		fi
		sleep 0.1
	done
}

# claim TEXT COMMAND...: prints whether the command succeeds and sets FAILED if
# it does not.
claim() {
	local text=$1
	shift
	if "$@"; then
		echo "   holds: $text"
	else
		echo "   DOES NOT HOLD: $text"
		FAILED=1
	fi
}

# field NAME: prints the value of the first numeric field NAME of the JSON on
# standard input.
field() { grep -o "\"$1\": \?-\?[0-9]*" | head -1 | tr -d " " | cut -d: -f2; }
