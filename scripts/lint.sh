#!/usr/bin/env bash
# Runs clang-tidy on the given sources, or on all sources of the project. Uses a compilation database
# for clang without precompiled headers, since clang cannot read those written by g++.
#
# A clean source is not checked again until the source, a project header that it includes, its compile
# command, the settings or the installed packages change. GWT_LINT_CACHE names the cache directory.
set -euo pipefail
cd "$(dirname "$0")/.."
cache=${GWT_LINT_CACHE:-${XDG_CACHE_HOME:-$HOME/.cache}/godwittray-lint}
mkdir -p "$cache"
find "$cache" -type f -mtime +30 -delete
cmake -S . -B build-lint -G Ninja -DCMAKE_CXX_COMPILER=clang++ \
    -DGWT_PCH=OFF >/dev/null
batch_size=12 # larger batches outlast the rest of the run, smaller ones parse the same headers more often
directories=(src platform apps standins test bench)
if [ $# -gt 0 ]; then
    files=("$@")
else
    mapfile -t files < <(find "${directories[@]}" -name '*.cpp' | sort)
fi
settings=$({ cat .clang-tidy scripts/lint.sh; dpkg-query -W -f '${Package} ${Version}\n'; } | sha256sum | cut -d' ' -f1)

# Prints each source's compile command, with paths that do not depend on the checkout. An include
# path may be the checkout itself, without a trailing slash.
commands() {
    sed "s|$PWD/||g; s|$PWD |. |g" build-lint/compile_commands.json \
        | awk -F'": "' '/^  "command"/ { command = $2 } /^  "file"/ { sub(/",?$/, "", $2); print $2, command }'
}

# Prints each source's path and a hash of the source and all project headers that it includes.
keys() {
    local hashes includes compile
    hashes=$(mktemp) includes=$(mktemp) compile=$(mktemp)
    commands >"$compile"
    find "${directories[@]}" proto/generated \( -name '*.h' -o -name '*.cpp' \) -print0 \
        | xargs -0 sha256sum >"$hashes"
    grep -rHo --include='*.h' --include='*.cpp' '^#include ["<][^">]*[">]' "${directories[@]}" proto/generated >"$includes"
    awk -v requested="$(printf '%s\n' "${files[@]}")" '
        FILENAME == ARGV[1] { hash[$2] = $1; next }
        FILENAME == ARGV[2] { command[$1] = $0; gsub(/ /, "", command[$1]); next }
        {
            colon = index($0, ":")
            file = substr($0, 1, colon - 1)
            name = $0
            sub(/^[^"<]*["<]/, "", name)
            sub(/[">].*$/, "", name)
            directory = file
            sub(/\/[^\/]*$/, "", directory)
            count = split(directory "/" name " src/" name " " name " test/" name " test/soak/" name " proto/generated/" name, candidates, " ")
            for (i = 1; i <= count; ++i)
                if (candidates[i] in hash) { included[file] = included[file] " " candidates[i]; break }
        }
        function visit(file,    list, n, i) {
            if (file in visited) return
            visited[file] = 1
            all = all hash[file]
            n = split(included[file], list, " ")
            for (i = 1; i <= n; ++i) visit(list[i])
        }
        END {
            n = split(requested, sources, "\n")
            for (s = 1; s <= n; ++s) {
                delete visited
                all = ""
                visit(sources[s])
                print sources[s], all command[sources[s]]
            }
        }' "$hashes" "$compile" "$includes" | while read -r file all; do
        printf '%s %s\n' "$file" "$(printf '%s' "$settings$all" | sha256sum | cut -d' ' -f1)"
    done
    rm "$hashes" "$includes" "$compile"
}
check_one() { # FILE KEY
    clang-tidy --quiet -p build-lint "$1" 2>/dev/null || return 1
    touch "$cache/$2"
}

# Checks the sources of a list as one unit, since most of the time is spent on their shared headers.
# If they do not compile together or have a finding, checks each half of the list recursively.
check_list() { # LIST, of lines FILE KEY
    local unit=$1.unit status=0 count
    count=$(wc -l <"$1") || return 1
    if [ "$count" -le 1 ]; then # an empty list cannot be split either
        check_one $(cat "$1")
        return
    fi
    mkdir -p "$unit"
    while read -r file _; do
        printf '# 1 "%s"\n' "$PWD/$file"
        cat "$file"
    done <"$1" >"$unit/unit.cpp"
    local first command
    first=$(head -1 "$1" | cut -d' ' -f1)
    command=$(grep -F " -c $PWD/$first\"" build-lint/compile_commands.json | sed 's/^  "command": "//; s/ -o .*//')
    printf '[{"directory": "%s", "command": "%s -c %s", "file": "%s"}]\n' \
        "$PWD/build-lint" "$command" "$PWD/$unit/unit.cpp" "$PWD/$unit/unit.cpp" >"$unit/compile_commands.json"
    if (cd build-lint && eval "$(printf '%s' "$command" | sed 's/\\\(.\)/\1/g') -fsyntax-only '$PWD/../$unit/unit.cpp'") >/dev/null 2>&1 \
        && clang-tidy --quiet -p "$unit" "$unit/unit.cpp" >/dev/null 2>&1; then
        while read -r _ key; do touch "$cache/$key"; done <"$1"
        return
    fi
    split -l $(((count + 1) / 2)) "$1" "$1."
    for half in "$1.aa" "$1.ab"; do
        check_list "$half" || status=1
    done
    return $status
}
export -f check_one check_list
export cache
lists=build-lint/lists
rm -rf "$lists"
mkdir -p "$lists"
# Only sources of one directory with the same options are checked together.
keys | while read -r file key; do
    [ -e "$cache/$key" ] && continue
    options=$(grep -F " -c $PWD/$file\"" build-lint/compile_commands.json | sed 's/ -o .*//' | sha256sum | cut -c1-16)
    printf '%s %s\n' "$file" "$key" >>"$lists/$(dirname "$file" | cut -d/ -f1-2 | tr / -)-$options"
done
cd "$lists"
for group in *; do
    [ -e "$group" ] && split -l "$batch_size" -d "$group" "$group.batch" && rm "$group"
done
cd - >/dev/null
find "$lists" -type f -size +0 | sort | xargs -r -P "$(nproc)" -I{} bash -c 'check_list "$1"' _ {}
echo "clang-tidy: ${#files[@]} files clean"
