#!/bin/sh
# Runs the case in the given folder. Exits with 1 if the rule was broken, 0 if it held, and 2 if
# the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
name=$1
program=target/review/$name
[ -x "$program" ] && [ -x target/release/cranberryridge-gateway ] || {
    echo "build with the command of deploy/system.toml and review/build.sh first"
    exit 2
}
REVIEW_PROCESSES=$(mktemp) || exit 2
export REVIEW_PROCESSES

# Ends the gateways that an interrupted case has left, by the ids kept from their start.
end_processes() {
    while read -r id; do
        case $(tr '\0' ' ' 2>/dev/null <"/proc/$id/cmdline") in
            target/release/cranberryridge-gateway*) kill -KILL "$id" ;;
        esac
    done <"$REVIEW_PROCESSES"
    rm -f "$REVIEW_PROCESSES"
}

child=
trap 'kill -KILL "$child" 2>/dev/null; end_processes; exit 2' INT TERM HUP
"$program" "review/$name/record.txt" &
child=$!
wait "$child"
code=$?
end_processes 2>/dev/null
[ "$code" -le 2 ] || code=2
exit "$code"
