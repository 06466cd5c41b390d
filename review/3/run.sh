#!/bin/sh
# Exits with 1 if a stream was lost, 0 if none was, 2 if the case couldn't run. TROUBLE=0: without SIGTERM and with room at the replicas.
cd "$(dirname "$0")/../.."
timeout -k 5 110 java -cp target/review SilentReplica review/3
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
