#!/bin/sh
# The executable is this script followed by a jar; java reads the jar from the file's end.
exec "${JAVA_HOME:+$JAVA_HOME/bin/}java" -XX:+UseSerialGC -Xms64m -Xmx"${MARTENWELL_HEAP:-256m}" -XX:MaxDirectMemorySize=128m -XX:TieredStopAtLevel=4 -Xshare:auto -XX:+ExitOnOutOfMemoryError $MARTENWELL_JAVA_OPTIONS -jar "$0" "$@"
