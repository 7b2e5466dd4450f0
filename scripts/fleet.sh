# The quick start fleet: settings, start and helpers. A script must source lib.sh
# and set BASE, the first of about 80 ports, before it sources this file.

KEY=quickstart-key # API key of the workspace studio
PLATFORM=127.0.0.1:$BASE
SERVICE=127.0.0.1:$((BASE + 15))
engine() { echo "127.0.0.1:$((BASE + 10 + $1))"; }
entry() { echo "127.0.0.1:$((BASE + 50 + $1))"; }
admin() { echo "127.0.0.1:$((BASE + 70 + $1))"; }

# write_settings writes the settings files of all processes.
write_settings() {
	{
		printf '[standin]\nrole = platform\nlisten = %s\n' "$PLATFORM"
		for i in 1 2 3 4 5; do
			kind=engine pool=chat version=v1 dc=akl-$(((i + 1) / 2))
			[ "$i" = 5 ] && kind=service pool=tracker version='' dc=akl-2
			printf '[instance %s]\nrole = endpoint\nkind = %s\npool = %s\nversion = %s\ndata_centre = %s\n' "$(name "$i")" $kind $pool "$version" $dc
			printf 'address = 127.0.0.1:%d\ncontrol = 127.0.0.1:%d\nadmin = 127.0.0.1:%d\n' $((BASE + 20 + i)) $((BASE + 30 + i)) $((BASE + 40 + i))
			write_side "$i" $kind $pool "$version" $dc
		done
		for i in 1 2; do
			printf '[instance entry-%d]\nrole = entry\ndata_centre = akl-%d\naddress = %s\ncontrol = 127.0.0.1:%d\nadmin = %s\n' $i $i "$(entry $i)" $((BASE + 60 + i)) "$(admin $i)"
			write_entry $i
		done
	} >"$RUN/platform.ini"
	printf '[standin]\nrole = service\nlisten = %s\n' "$SERVICE" >"$RUN/tracker.ini"
	for i in 1 2 3 4; do
		printf '[standin]\nrole = engine\nlisten = %s\n[engine]\nversion = v1\ntoken_time = 20ms\nprefill_time = 20us\nslots = 32\ncold_time = 200ms\ncold_bears = 20000\n' "$(engine $i)" >"$RUN/engine-$i.ini"
	done
	printf '[ctl]\nlog_service = http://%s\ninstance_list = http://%s\nlists = %s\nauthor = quickstart\n' "$PLATFORM" "$PLATFORM" "$PWD/examples/quickstart" >"$RUN/ctl.ini"
	seed=0
	for load in move stop; do
		seed=$((seed + 1)) # different seeds give different idempotency keys
		sed -e "s/SEED/$seed/; s/ENTRY1/$(entry 1)/; s/ENTRY2/$(entry 2)/; s/SERVICE/$SERVICE/; s/APIKEY/$KEY/" examples/quickstart/load.ini >"$RUN/load-$load.ini"
	done
}

name() { if [ "$1" = 5 ]; then echo service-1; else echo "engine-$1"; fi; }

shared() { printf '[platform]\nlog_service = http://%s\ninstance_list = http://%s\n[fleet]\nkey = shared-quickstart\ncontrol_budget = 4000\n' "$PLATFORM" "$PLATFORM"; }

write_side() {
	local endpoint
	endpoint=$(engine "$1")
	[ "$2" = service ] && endpoint=$SERVICE
	{
		printf '[side]\ninstance = %s\ndata_centre = %s\nregion = akl\npool = %s\nkind = %s\nversion = %s\nendpoint = http://%s\n' "$(name "$1")" "$5" "$3" "$2" "$4" "$endpoint"
		printf 'listen = 127.0.0.1:%d\ncontrol = 127.0.0.1:%d\nadmin = 127.0.0.1:%d\n' $((BASE + 20 + $1)) $((BASE + 30 + $1)) $((BASE + 40 + $1))
		shared
	} >"$RUN/side-$1.ini"
}

write_entry() {
	{
		printf '[entry]\ninstance = entry-%d\ndata_centre = akl-%d\nregion = akl\nlisten = %s\ncontrol = 127.0.0.1:%d\nadmin = %s\n' "$1" "$1" "$(entry "$1")" $((BASE + 60 + $1)) "$(admin "$1")"
		shared
	} >"$RUN/entry-$1.ini"
}

# ctl ARGUMENTS: runs goldcrestctl and prints its output indented.
ctl() {
	local command=$1
	shift
	"$BIN/goldcrestctl" "$command" -settings "$RUN/ctl.ini" -timeout 10s "$@" 2>&1 | sed 's/^/   /'
	return "${PIPESTATUS[0]}"
}

started() { curl -fsS "http://$(engine "$1")/stats" | field started; }
started_in_akl1() { echo $(($(started 1) + $(started 2))); }
grows() { [ "$(started_in_akl1)" -gt "$1" ]; }
chat_works() { curl -fsS -o /dev/null -H "Authorization: Bearer $KEY" -d '{"messages":[{"role":"user","content":"ready?"}],"max_tokens":1}' "http://$(entry "$1")/v1/chat/completions"; }

# start_fleet builds the binaries, starts all processes and applies the
# configuration. It sets ENGINE_PID, SIDE_PID and ENTRY_PID to the process ids.
start_fleet() {
	make -s build || exit 1
	write_settings
	start platform goldcrest-standin
	wait_for 5 "platform up" curl -fsS "http://$PLATFORM/instances?since=0" || FAILED=1
	for i in 1 2 3 4; do
		start engine-$i goldcrest-standin
		ENGINE_PID[$i]=$PID
	done
	start tracker goldcrest-standin
	for i in 1 2 3 4 5; do
		start side-$i goldcrest-side
		SIDE_PID[$i]=$PID
	done
	for i in 1 2; do
		start entry-$i goldcrest-entry
		ENTRY_PID[$i]=$PID
	done
	ctl apply -wait || FAILED=1
	for i in 1 2; do wait_for 10 "entry-$i serves chats" chat_works $i || FAILED=1; done
	if [ $FAILED != 0 ]; then
		stop_all
		echo "The fleet did not start; settings and logs are in $RUN."
		exit 1
	fi
}
