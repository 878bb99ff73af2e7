#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into review/src-2/target; needs only the JDK.
set -eu
cd "$(dirname "$0")/src-2"
rm -rf target
mkdir -p target
javac -Xlint:all -d target independent/*.java
