#!/bin/sh
# Builds the stand-ins of all cases, with the JDK alone.
set -e
cd "$(dirname "$0")"
mkdir -p build
javac -Xlint:all -d build src/*.java
