#!/usr/bin/env bash
# Exits with 1 if the rule is broken, 0 if it holds, 2 if the case couldn't run. TROUBLE=0: no key is taken away.
cd "$(dirname "$0")/../.." || exit 2
exec java -Xmx1g -cp target/review-2 LastKey review/5/record.txt
