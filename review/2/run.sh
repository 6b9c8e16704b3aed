#!/usr/bin/env bash
# Exit with 1 if the rule was broken, 0 if it held, 2 if the case can't run.
cd "$(dirname "$0")/../.." || exit 2
python3 -B review/2/case.py &
case_pid=$!
trap 'kill "$case_pid" 2>/dev/null' TERM INT
wait "$case_pid"
status=$?
# A signal ends the wait before the case has ended its processes.
while kill -0 "$case_pid" 2>/dev/null; do
  wait "$case_pid"
  status=$?
done
case $status in
  0) exit 0 ;;
  10) exit 1 ;;
  *) exit 2 ;;
esac
