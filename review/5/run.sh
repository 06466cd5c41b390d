#!/bin/sh
# Exits with 1 if LOST was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: connections of clients break, no gateway is killed.
cd "$(dirname "$0")/../.."
exec timeout -k 5 110 java -cp target/review StreamsBehindKill review/5
