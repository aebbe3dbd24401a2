#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
for program in hollyfork-gateway hollyfork-sidecar review-standin; do
	if [ ! -x "target/$program" ]; then
		echo "target/$program is missing: run the build line of deploy/system.toml and review/build.sh" >&2
		exit 2
	fi
done
exec target/review-standin -case guarantee -record review/3/record.txt
