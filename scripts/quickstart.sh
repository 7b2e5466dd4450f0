#!/usr/bin/env bash
# Runs a small fleet of separate processes on loopback and demonstrates a streamed
# answer, a ticket assignment sent twice, the evacuation of a data centre and its
# return to service under load, and a planned stop under load. Takes about a
# minute. The exit code is not zero if a claim does not hold.
set -uo pipefail
cd "$(dirname "$0")/.."
STOP_SIGNAL=${QUICKSTART_STOP:-TERM} # KILL demonstrates that the last claim can fail
BIN=$PWD/bin
RUN=$PWD/run/quickstart
rm -rf "$RUN" && mkdir -p "$RUN"
. scripts/lib.sh
BASE=$(free_base "${QUICKSTART_PORT:-27400}") || exit 1 # first of about 80 ports on 127.0.0.1
. scripts/fleet.sh
trap 'stop_all; exit 130' INT TERM

echo "1. Build and start: 2 data centres, 4 engines, 1 service, 2 entries"
start_fleet

echo "2. A streamed answer through entry-1"
curl -fsSN -H "Authorization: Bearer $KEY" -H 'Chat-Id: bug-41' -d '{"messages":[{"role":"user","content":"summarise bug 41"}],"max_tokens":4,"stream":true}' \
	"http://$(entry 1)/v1/chat/completions" >"$RUN/answer.txt"
sed 's/^/   /' "$RUN/answer.txt" | grep data:
claim "the answer ends with [DONE]" grep -q 'DONE' "$RUN/answer.txt"

echo "3. A ticket assignment sent twice, through both entries"
call() { curl -sS "$@" -H "Authorization: Bearer $KEY" -d '{"ticket":7,"to":"ana"}'; }
assign() { call -H 'Idempotency-Key: assign-7' "http://$(entry "$1")/v1/services/tracker/assign"; }
for i in 1 2; do wait_for 10 "entry-$i serves the tracker" call -f "http://$(entry $i)/v1/services/tracker/reserve" || FAILED=1; done
assign 1 | sed 's/^/   entry-1: /'
assign 2 | sed 's/^/   entry-2: /'
runs() { curl -fsS "http://$SERVICE/stats" | field assign-7; }
claim "the service ran it once" test "$(runs)" = 1

echo "4. Data centre akl-1 taken out and returned under load"
"$BIN/goldcrest-load" -settings "$RUN/load-move.ini" -duration 14s >"$RUN/load-move.txt" 2>"$RUN/load-move.log" &
LOAD=$!
wait_for 5 "load reaches akl-1" grows "$(started_in_akl1)" || FAILED=1
claim "the record is in force everywhere" ctl drain -wait akl-1
sleep 1 # for requests already in flight; the bound is 4 s
before=$(started_in_akl1)
sleep 3
after=$(started_in_akl1)
claim "no new work in akl-1 while it is out (started $before, 3 s later $after)" test "$before" = "$after"
claim "the record is in force everywhere" ctl restore -wait akl-1
claim "work returns to akl-1" wait_for 8 "work in akl-1" grows "$after"
wait $LOAD
claim "nothing was cut, wrong or run twice" test $? = 0
sed 's/^/   /' "$RUN/load-move.txt"

echo "5. Planned stop of entry-1 and of the side of engine-3 under load"
"$BIN/goldcrest-load" -settings "$RUN/load-stop.ini" -duration 8s >"$RUN/load-stop.txt" 2>"$RUN/load-stop.log" &
LOAD=$!
wait_for 5 "load is running" grows "$(started_in_akl1)" || FAILED=1
streams() { [ "$(curl -fsS "http://$(engine 3)/load" | field running)" -ge "$1" ]; }
claim "streams run on engine-3 when its side is stopped" wait_for 5 "3 streams on engine-3" streams 3
kill -"$STOP_SIGNAL" "${ENTRY_PID[1]}" "${SIDE_PID[3]}"
claim "entry-1 ended by itself" ended "${ENTRY_PID[1]}" 20
claim "the side of engine-3 ended by itself" ended "${SIDE_PID[3]}" 20
wait $LOAD
claim "nothing was cut, wrong or run twice" test $? = 0
sed 's/^/   /' "$RUN/load-stop.txt"

stop_all
[ $FAILED = 0 ] && echo "All claims hold." || echo "At least one claim did not hold; settings and logs are in $RUN."
exit $FAILED
