#!/bin/sh
# Exits with 1 if LOST was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: connections of clients break, no gateway is killed.
cd "$(dirname "$0")/../.."
timeout -k 5 110 java -cp target/review StreamsBehindKill review/5
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
