#!/bin/sh
# Compiles the stand-ins of the cases; run in the repository root after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -Xlint:-options --release 17 --add-modules jdk.httpserver -d target/review review/standins/*.java
