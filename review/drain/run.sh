#!/bin/sh
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
[ -d target/review ] && [ -f target/platform/bramleyscale-platform.jar ] || exit 2
java -Xmx256m -Dsun.net.httpserver.nodelay=true -cp target/review standins.LeaveCase "$here/record.txt"
status=$?
[ "$status" -eq 0 ] || [ "$status" -eq 1 ] || status=2
exit $status
