#!/bin/sh
# Plays the case "stop" of the second review. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 plays it without the disruption. Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
for program in bin/marblespan bin/marblespan-raft bin/review-standin-2; do
	[ -x "$program" ] || { echo "$program is missing"; exit 2; }
done
exec bin/review-standin-2 stop review/10
