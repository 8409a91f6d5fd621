#!/bin/sh
# Builds what the scripts of the cases need: the project's programs. The stand-ins need no build.
set -e
cd "$(dirname "$0")/.."
[ -e target/platform/launch.js ] || node deploy/build.mjs
