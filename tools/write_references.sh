#!/usr/bin/env bash
# Writes the reference pages of docs/ from the code. With --check, fails where one differs.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=${BUILD_DIR:-build}/src
failed=0
write() { # PAGE COMMAND...
    local page=$1
    shift
    if [[ $check == yes ]]; then
        diff -u "$page" <("$@") || { echo "$page differs from the code: run tools/write_references.sh"; failed=1; }
    else
        "$@" >"$page"
    fi
}
check=no
[[ ${1:-} == --check ]] && check=yes
for it in configuration settings node-settings reasons events; do
    write "docs/$it.md" "$bin/fordwoodctl" reference "$it"
done
write docs/workloads.md "$bin/fordwood-load" --reference
exit $failed
