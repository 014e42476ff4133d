#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")" || exit 2
timeout -k 5 110 python3 case.py &
child=$!
trap 'kill "$child"' TERM INT # The case ends the processes that it has started.
while :; do
    wait "$child"
    status=$?
    kill -0 "$child" 2>/dev/null || break
done
case $status in
    0) exit 0 ;;
    10) exit 1 ;;
    *) exit 2 ;;
esac
