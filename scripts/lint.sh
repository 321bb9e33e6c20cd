#!/usr/bin/env bash
# Runs clang-tidy over the given sources, or over all of ours. Uses a compilation database for
# clang without precompiled headers, which clang cannot read when g++ wrote them.
#
# A source that was clean is not read again while it, the project's headers that it includes, the
# settings and the installed packages stay the same; GWT_LINT_CACHE names the folder that keeps this.
set -euo pipefail
cd "$(dirname "$0")/.."
cache=${GWT_LINT_CACHE:-${XDG_CACHE_HOME:-$HOME/.cache}/godwittray-lint}
mkdir -p "$cache"
find "$cache" -type f -mtime +30 -delete
cmake -S . -B build-lint -G Ninja -DCMAKE_CXX_COMPILER=clang++ \
    -DGWT_PCH=OFF >/dev/null
folders=(src platform apps standins test bench)
if [ $# -gt 0 ]; then
    files=("$@")
else
    mapfile -t files < <(find "${folders[@]}" -name '*.cpp' | sort)
fi
settings=$({ cat .clang-tidy scripts/lint.sh; find . -name CMakeLists.txt -not -path './build*' | sort | xargs cat
    dpkg-query -W -f '${Package} ${Version}\n'; } | sha256sum | cut -d' ' -f1)

# Prints for each source: its path, and a hash over it and all headers of ours below it.
keys() {
    local hashes includes
    hashes=$(mktemp) includes=$(mktemp)
    find "${folders[@]}" proto/generated \( -name '*.h' -o -name '*.cpp' \) -print0 \
        | xargs -0 sha256sum >"$hashes"
    grep -rHo --include='*.h' --include='*.cpp' '^#include ["<][^">]*[">]' "${folders[@]}" proto/generated >"$includes"
    awk -v wanted="$(printf '%s\n' "${files[@]}")" '
        FILENAME == ARGV[1] { hash[$2] = $1; next }
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
                print sources[s], all
            }
        }' "$hashes" "$includes" | while read -r file all; do
        printf '%s %s\n' "$file" "$(printf '%s' "$settings$all" | sha256sum | cut -d' ' -f1)"
    done
    rm "$hashes" "$includes"
}
check_one() { # FILE KEY
    [ -e "$cache/$2" ] && return 0
    clang-tidy --quiet -p build-lint "$1" 2>/dev/null || return 1
    touch "$cache/$2"
}
export -f check_one
export cache
keys | xargs -P "$(nproc)" -L 1 bash -c 'check_one "$0" "$1"'
echo "clang-tidy: ${#files[@]} files clean"
