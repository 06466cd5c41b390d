#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. It needs a JDK of version 17 and no network.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -encoding UTF-8 -d target/review-2 review/lab-2/*.java
