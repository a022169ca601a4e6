#!/bin/sh
# Runs the case after the build of the deploy file and review/build-2.sh. Exits with 1 if the rule was broken, 0 if it held, 2 if the
# case could not run. With TROUBLE=0 there is no disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x bin/shelfproxy ] && [ -x review/bin/9 ] || { echo "build first"; exit 2; }
exec review/bin/9
