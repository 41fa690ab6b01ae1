#!/usr/bin/env bash
# Runs case 3. Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves the disruption out.
# Needs the build of deploy/balancer.toml and review/build.sh.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$here/../.." && pwd) || exit 2
[ -x "$root/bin/sloehitch" ] && [ -x "$root/review/bin/3" ] || exit 2
exec "$root/review/bin/3" "$root" "$here"
