#!/bin/sh
# Builds the stand-ins of all cases into target/review. Run it after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -d target/review review/lab/*.java $(ls review/[1-5]/*.java 2>/dev/null)
