#!/usr/bin/env bash
# Fails when a name that leaves the process is gone from the sources: tools/outer_names.txt lists the
# fields and values of messages, stored keys, settings, flags, metrics and labels, and the numbered
# events and reasons. A name is taken off the list only with the change that retires it on purpose.
# With --count, prints how often each name stands in the sources, to compare two commits.
set -euo pipefail
cd "$(dirname "$0")/.."
sources=$(mktemp)
trap 'rm -f "$sources"' EXIT
find src include platform \( -name '*.cpp' -o -name '*.hpp' -o -name '*.inc' \) -not -path 'src/wire/*' \
    -exec cat {} + | sed -E 's,^[[:space:]]*//.*,,' >"$sources"
# A line for each string literal, event and reason, in the form of the list.
present() {
    grep -oE '"([^"\\]|\\.)*"' "$sources" | sed -E 's/^"(.*)"$/\1/'
    grep -oE '^FORDWOOD_EVENT\(\w+, [0-9]+' "$sources" | sed -E 's/.*\((\w+), ([0-9]+)/event \2 \1/'
    grep -oE '^FORDWOOD_REASON\(\w+, [0-9]+, "[a-z-]+", \w+, [0-9]+' "$sources" |
        sed -E 's/.*\(\w+, ([0-9]+), "([a-z-]+)", (\w+), ([0-9]+)/reason \1 \2 \3 \4/'
}
counts=$(present | sort | uniq -c | awk '
    NR == FNR { name = $0; sub(/^ *[0-9]+ /, "", name); n[name] = $1; next }
    { print n[$0] + 0, $0 }' - tools/outer_names.txt)
if [[ ${1:-} == --count ]]; then
    echo "$counts"
    exit 0
fi
if grep -E '^0 ' <<<"$counts"; then
    echo "outer names: the names above are gone"
    exit 1
fi
echo "outer names: all $(wc -l <tools/outer_names.txt) present"
