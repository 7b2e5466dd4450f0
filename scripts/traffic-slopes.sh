#!/usr/bin/env bash
# Measures on loopback the cost of one entry and one side for each request and
# each streamed token: latency added to a direct call of the engine stand-in, CPU
# time and memory. The figures are the basis of docs/capacity-traffic.md. They
# depend on the machine, so CI does not check them. Takes about two minutes.
set -uo pipefail
cd "$(dirname "$0")/.."
SECONDS_PER_RUN=${SLOPES_SECONDS:-8}
BIN=$PWD/bin
RUN=$PWD/run/traffic-slopes
rm -rf "$RUN" && mkdir -p "$RUN"
. scripts/lib.sh
BASE=$(free_base "${SLOPES_PORT:-28400}") || exit 1 # first of about 80 ports on 127.0.0.1
trap stop_all EXIT
trap 'exit 130' INT TERM

at() { echo "127.0.0.1:$((BASE + $1))"; }
PLATFORM=$(at 0) ENGINE=$(at 1) SIDE=$(at 2) SIDE_CONTROL=$(at 3) SIDE_ADMIN=$(at 4) ENTRY=$(at 5) ENTRY_CONTROL=$(at 6) ENTRY_ADMIN=$(at 7)

shared() { printf '[platform]\nlog_service = http://%s\ninstance_list = http://%s\n[fleet]\nkey = shared\n' "$PLATFORM" "$PLATFORM"; }
{
	printf '[standin]\nrole = platform\nlisten = %s\n' "$PLATFORM"
	printf '[instance engine-1]\nrole = endpoint\nkind = engine\npool = chat\nversion = v1\ndata_centre = akl-1\naddress = %s\ncontrol = %s\n' "$SIDE" "$SIDE_CONTROL"
	printf '[instance entry-1]\nrole = entry\ndata_centre = akl-1\naddress = %s\ncontrol = %s\n' "$ENTRY" "$ENTRY_CONTROL"
} >"$RUN/platform.ini"
printf '[standin]\nrole = engine\nlisten = %s\n[engine]\ntoken_time = 20ms\n' "$ENGINE" >"$RUN/engine.ini"
{
	printf '[side]\ninstance = engine-1\ndata_centre = akl-1\nregion = akl\npool = chat\nversion = v1\nendpoint = http://%s\nlisten = %s\ncontrol = %s\nadmin = %s\n' "$ENGINE" "$SIDE" "$SIDE_CONTROL" "$SIDE_ADMIN"
	shared
} >"$RUN/side.ini"
{
	printf '[entry]\ninstance = entry-1\ndata_centre = akl-1\nregion = akl\nlisten = %s\ncontrol = %s\nadmin = %s\n' "$ENTRY" "$ENTRY_CONTROL" "$ENTRY_ADMIN"
	shared
} >"$RUN/entry.ini"

# load_settings NAME PROTOCOL TARGET RATE TOKENS CONCURRENCY: writes the settings
# of a load to $RUN/NAME.ini.
load_settings() {
	cat >"$RUN/$1.ini" <<INI
[load]
entries = $3
protocol = $2
rate = $4
concurrency = $6
duration = ${SECONDS_PER_RUN}s
grace = 30s
progress = 0s
format = json
[chats]
return_soon = 2s
prompt_chars = 2000
tokens = $5
[workspace studio]
key = quickstart-key
INI
}

# metric ADDRESS NAME: prints the value of a metric without labels.
metric() { curl -fsS "http://$1/metrics" | awk -v n="$2" '$1 == n { print $2 }'; }
cpu() { metric "$1" process_cpu_seconds_total; }
rss() { metric "$1" process_resident_memory_bytes; }

# run NAME: runs the load and writes its report to $RUN/NAME.json.
run() {
	"$BIN/goldcrest-load" -settings "$RUN/$1.ini" >"$RUN/$1.json" 2>"$RUN/$1.log" || {
		echo "load $1 failed:" >&2
		cat "$RUN/$1.json" "$RUN/$1.log" >&2
		exit 1
	}
}

# times NAME SECTION: prints p50 and p95 of a section of the report in
# microseconds.
times() { grep -A6 "\"$2\"" "$RUN/$1.json" | awk -F'[:,]' '/p50/ { a = $2 } /p95/ { b = $2 } END { print a, b }'; }
count() { field "$2" <"$RUN/$1.json"; }

make -s build || exit 1
start platform goldcrest-standin
wait_for 5 "platform up" curl -fsS "http://$PLATFORM/instances?since=0" || exit 1
start engine goldcrest-standin
start side goldcrest-side
start entry goldcrest-entry
mkdir "$RUN/lists"
sed 's/^rate = .*/rate = 1000000000/; s/^burst = .*/burst = 1000000000/' examples/quickstart/plans.ini >"$RUN/lists/plans.ini"
sed 's/^load_multiple = .*/load_multiple = 10/; s/^slots = .*/slots = 10000/; s/^cold_limit = .*/cold_limit = 1000000000/' examples/quickstart/usage.ini >"$RUN/lists/usage.ini"
"$BIN/goldcrestctl" apply -log-service "http://$PLATFORM" -instance-list "http://$PLATFORM" -lists "$RUN/lists" -author slopes >"$RUN/apply.log" 2>&1 || {
	cat "$RUN/apply.log"
	exit 1
}
chat_works() { curl -fsS -o /dev/null -H 'Authorization: Bearer quickstart-key' -d '{"messages":[{"role":"user","content":"ready?"}],"max_tokens":1}' "http://$ENTRY/v1/chat/completions"; }
wait_for 10 "chats are served" chat_works || exit 1

echo "# $(date -u +%Y-%m-%dT%H:%MZ), $(go version | cut -d' ' -f3), $(nproc) processors, load average $(cut -d' ' -f1 /proc/loadavg)"
load_settings direct engine "$ENGINE" 50 40 400
load_settings fleet fleet "$ENTRY" 50 40 400
run direct
run fleet
for section in first_token between_tokens; do
	read -r d50 d95 < <(times direct $section)
	read -r f50 f95 < <(times fleet $section)
	printf '%-16s direct p50 %6d us p95 %6d us | fleet p50 %6d us p95 %6d us | added p50 %5d us p95 %5d us\n' \
		$section "$d50" "$d95" "$f50" "$f95" $((f50 - d50)) $((f95 - d95))
done

# CPU time: idle, then at the same request rate with short and with long answers.
load_settings short fleet "$ENTRY" 100 4 1000
load_settings long fleet "$ENTRY" 100 100 2000
e0=$(cpu "$ENTRY_ADMIN") s0=$(cpu "$SIDE_ADMIN") t0=$(date +%s.%N)
sleep "$SECONDS_PER_RUN" # the idle CPU time is measured for as long as a run takes
e1=$(cpu "$ENTRY_ADMIN") s1=$(cpu "$SIDE_ADMIN") t1=$(date +%s.%N)
run short
e2=$(cpu "$ENTRY_ADMIN") s2=$(cpu "$SIDE_ADMIN") t2=$(date +%s.%N)
run long
e3=$(cpu "$ENTRY_ADMIN") s3=$(cpu "$SIDE_ADMIN") t3=$(date +%s.%N)
slopes() { # NAME idle-cpu idle-seconds short-cpu short-seconds long-cpu long-seconds
	awk -v name="$1" -v i="$2" -v it="$3" -v a="$4" -v at="$5" -v b="$6" -v bt="$7" \
		-v ra="$(count short calls)" -v ta="$(count short tokens)" -v rb="$(count long calls)" -v tb="$(count long tokens)" 'BEGIN {
		idle = i / it; a -= idle * at; b -= idle * bt
		tok = (b * ra - a * rb) / (tb * ra - ta * rb); req = (a - tok * ta) / ra
		printf "%-16s idle %.2f%% of a core | %.0f us a request | %.2f us a streamed token (%d requests with %d tokens, %d with %d)\n",
			name, 100 * idle, 1e6 * req, 1e6 * tok, ra, ta, rb, tb
	}'
}
sub() { awk -v a="$1" -v b="$2" 'BEGIN { print b - a }'; }
slopes "entry processor" "$(sub "$e0" "$e1")" "$(sub "$t0" "$t1")" "$(sub "$e1" "$e2")" "$(sub "$t1" "$t2")" "$(sub "$e2" "$e3")" "$(sub "$t2" "$t3")"
slopes "side processor" "$(sub "$s0" "$s1")" "$(sub "$t0" "$t1")" "$(sub "$s1" "$s2")" "$(sub "$t1" "$t2")" "$(sub "$s2" "$s3")" "$(sub "$t2" "$t3")"

# Memory: resident size while a number of streams run concurrently. The answers
# are so long that all streams of a run overlap when the size is read.
memory() { # STREAMS
	load_settings "memory-$1" fleet "$ENTRY" $(($1 / 2)) 1500 "$1"
	sed -i 's/^duration = .*/duration = 6s/' "$RUN/memory-$1.ini"
	"$BIN/goldcrest-load" -settings "$RUN/memory-$1.ini" >"$RUN/memory-$1.json" 2>"$RUN/memory-$1.log" &
	local load=$!
	running() { curl -fsS "http://$ENGINE/load" | field running; }
	full() { [ "$(running)" -ge $(($1 * 9 / 10)) ]; }
	wait_for 10 "$1 streams run" full "$1"
	sleep 2 # for one or two garbage collections at this size
	MEMORY="$(running) $(rss "$ENTRY_ADMIN") $(rss "$SIDE_ADMIN")"
	kill -TERM $load
	wait $load
	none() { [ "$(running)" = 0 ]; }
	wait_for 20 "streams have ended" none
}
memory 200
read -r n1 me1 ms1 <<<"$MEMORY"
memory 800
read -r n2 me2 ms2 <<<"$MEMORY"
awk -v n1="$n1" -v n2="$n2" -v a="$me1" -v b="$me2" -v c="$ms1" -v d="$ms2" 'BEGIN {
	printf "entry memory     %.0f MB with %d streams, %.0f MB with %d | %.1f KB a stream\n", a / 1e6, n1, b / 1e6, n2, (b - a) / (n2 - n1) / 1e3
	printf "side memory      %.0f MB with %d streams, %.0f MB with %d | %.1f KB a stream\n", c / 1e6, n1, d / 1e6, n2, (d - c) / (n2 - n1) / 1e3
}'
