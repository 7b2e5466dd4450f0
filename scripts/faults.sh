#!/usr/bin/env bash
# Runs the quick start fleet under load, injects faults one after another and two
# at a time, and checks that no answer was wrong or stayed truncated and that no
# key ran twice. Refusals are allowed. Takes about a minute.
set -uo pipefail
cd "$(dirname "$0")/.."
BIN=$PWD/bin
RUN=$PWD/run/faults
rm -rf "$RUN" && mkdir -p "$RUN"
. scripts/lib.sh
BASE=$(free_base "${FAULTS_PORT:-29400}") || exit 1 # first of about 80 ports on 127.0.0.1
. scripts/fleet.sh
trap 'stop_all; exit 130' INT TERM

# fault ADDRESS JSON: sets the injected faults of a stand-in, replacing all others.
fault() { curl -fsS -o /dev/null -X PUT "http://$1/faults" -d "$2" || FAILED=1; }

# phase SECONDS TEXT: prints which faults are active and waits.
phase() {
	echo "   $2"
	sleep "$1"
}

start_fleet
sed -i 's/^max_resumed.*/max_resumed = 1000000/; s/^max_refused.*/max_refused = 1/; s/^share = .*/share = 0.4/' "$RUN/load-move.ini"
"$BIN/goldcrest-load" -settings "$RUN/load-move.ini" -duration 40s >"$RUN/load.txt" 2>"$RUN/load.log" &
LOAD=$!
phase 8 "no fault"
fault "$PLATFORM/log" '{"lose_share":0.3}'
fault "$SERVICE" '{"lose_answers":5}'
phase 5 "answers of the log service and of the service are lost"
fault "$PLATFORM/log" '{"slow_ms":300}'
fault "$(engine 1)" '{"cold":true}'
phase 5 "the log service is slow and engine-1 has become cold"
fault "$PLATFORM/log" '{"down":true}'
fault "$PLATFORM/list" '{"down":true}'
phase 5 "log service and instance list are down"
fault "$PLATFORM/log" '{}'
fault "$PLATFORM/list" '{"flap":{"engine-2":700}}'
fault "$(engine 1)" '{}'
phase 5 "engine-2 flaps in the instance list"
kill -KILL "${ENGINE_PID[4]}"
kill -STOP "${SIDE_PID[5]}"
phase 4 "engine-4 has crashed and the side of the service is paused"
kill -CONT "${SIDE_PID[5]}"
fault "$PLATFORM/list" '{}'
kill -KILL "${SIDE_PID[1]}"
echo "   the paused side has resumed and the side of engine-1 has crashed"
wait $LOAD
claim "nothing was wrong, left truncated or run twice" test $? = 0
sed 's/^/   /' "$RUN/load.txt"
violations() { for i in 1 2; do curl -fsS "http://$(admin $i)/metrics"; done | grep -c 'goldcrest_invariant_breaches_total.* [1-9]'; }
claim "no entry found an invariant violation" test "$(violations)" = 0
stop_all
exit $FAILED
