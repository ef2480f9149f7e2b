#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
kit=target/review-2/release/review-2
[ -x "$kit" ] && [ -x target/release/bluebellreel ] || exit 2
exec "$kit" kill-all review/6/record.txt
