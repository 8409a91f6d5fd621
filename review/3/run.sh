#!/bin/sh
# Exit status: 1 rule broken, 0 rule held, 2 the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")" || exit 2
../build.sh || exit 2
node case.mjs
case $? in
  0) exit 0 ;;
  10) exit 1 ;;
  *) exit 2 ;;
esac
