#!/usr/bin/env bash
# Runs one case in a temporary folder and ends every process that it started. The argument is the
# folder of the case. Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.
set -u
folder=$(cd "$1" && pwd)
root=$(cd "$folder/../.." && pwd)
program="$root/target/review/case-$(basename "$folder")"
if [ ! -x "$program" ] || [ ! -x "$root/target/release/trefoillock-platform" ]; then
    echo "build the deploy file and review/build.sh first" >&2
    exit 2
fi
temp=$(mktemp -d)
clean_up() {
    if [ -f "$temp/pids" ]; then
        while read -r pid; do
            # The number may belong to another process by now.
            if tr '\0' '\n' 2>/dev/null <"/proc/$pid/environ" | grep -q "^TREFOILLOCK_CONFIG=$temp/"; then
                kill -KILL "$pid" 2>/dev/null
            fi
        done <"$temp/pids"
    fi
    if [ -n "${KEEP:-}" ]; then cp -r "$temp" "$KEEP"; fi
    rm -rf "$temp"
}
trap clean_up EXIT
REPO_ROOT=$root CASE_FOLDER=$folder CASE_TEMP=$temp timeout -s KILL 115 "$program"
code=$?
case $code in
0 | 1 | 2) exit "$code" ;;
*) exit 2 ;;
esac
