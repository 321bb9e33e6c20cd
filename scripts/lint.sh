#!/usr/bin/env bash
# Runs clang-tidy over the given sources, or over all of ours. Uses a compilation database for
# clang without precompiled headers, which clang cannot read when g++ wrote them.
#
# A source that was clean is not read again while it, the project's headers that it includes, its
# compile command, the settings and the installed packages stay the same; GWT_LINT_CACHE names the
# folder that keeps this.
set -euo pipefail
cd "$(dirname "$0")/.."
cache=${GWT_LINT_CACHE:-${XDG_CACHE_HOME:-$HOME/.cache}/godwittray-lint}
mkdir -p "$cache"
find "$cache" -type f -mtime +30 -delete
cmake -S . -B build-lint -G Ninja -DCMAKE_CXX_COMPILER=clang++ \
    -DGWT_PCH=OFF >/dev/null
batch_size=12 # more take longer than the rest of the run, fewer parse the same headers more often
folders=(src platform apps standins test bench)
if [ $# -gt 0 ]; then
    files=("$@")
else
    mapfile -t files < <(find "${folders[@]}" -name '*.cpp' | sort)
fi
settings=$({ cat .clang-tidy scripts/lint.sh; dpkg-query -W -f '${Package} ${Version}\n'; } | sha256sum | cut -d' ' -f1)

# Prints for each source its compile command, with paths that do not depend on the checkout. An
# include path may be the checkout itself, without a slash behind it.
commands() {
    sed "s|$PWD/||g; s|$PWD |. |g" build-lint/compile_commands.json \
        | awk -F'": "' '/^  "command"/ { command = $2 } /^  "file"/ { sub(/",?$/, "", $2); print $2, command }'
}

# Prints for each source: its path, and a hash over it and all headers of ours below it.
keys() {
    local hashes includes compile
    hashes=$(mktemp) includes=$(mktemp) compile=$(mktemp)
    commands >"$compile"
    find "${folders[@]}" proto/generated \( -name '*.h' -o -name '*.cpp' \) -print0 \
        | xargs -0 sha256sum >"$hashes"
    grep -rHo --include='*.h' --include='*.cpp' '^#include ["<][^">]*[">]' "${folders[@]}" proto/generated >"$includes"
    awk -v wanted="$(printf '%s\n' "${files[@]}")" '
        FILENAME == ARGV[1] { hash[$2] = $1; next }
        FILENAME == ARGV[2] { command[$1] = $0; gsub(/ /, "", command[$1]); next }
        {
            colon = index($0, ":")
            file = substr($0, 1, colon - 1)
            name = $0
            sub(/^[^"<]*["<]/, "", name)
            sub(/[">].*$/, "", name)
            folder = file
            sub(/\/[^\/]*$/, "", folder)
            count = split(folder "/" name " src/" name " " name " test/" name " test/soak/" name " proto/generated/" name, places, " ")
            for (i = 1; i <= count; ++i)
                if (places[i] in hash) { below[file] = below[file] " " places[i]; break }
        }
        function visit(file,    list, n, i) {
            if (file in seen) return
            seen[file] = 1
            all = all hash[file]
            n = split(below[file], list, " ")
            for (i = 1; i <= n; ++i) visit(list[i])
        }
        END {
            n = split(wanted, sources, "\n")
            for (s = 1; s <= n; ++s) {
                delete seen
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

# Checks the sources of a list as one, since most of the time goes into the headers that they share.
# Those that do not compile together, or have a finding, are checked in two halves, down to one.
check_list() { # LIST, of lines FILE KEY
    local unit=$1.unit status=0 count
    count=$(wc -l <"$1") || return 1
    if [ "$count" -le 1 ]; then # also an empty list, which cannot be halved
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
# Only sources of one folder and one set of options are checked together.
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
