#!/usr/bin/env bash
# Repeats the randomized simulation tests of the packages that make decisions, each round with a new seed. The first argument
# is the duration, such as 90s or 1h30m; further arguments select packages, by default all. Stops at the first failure and
# prints the command that reproduces it. A round that is running when the time is up is completed.
set -euo pipefail
cd "$(dirname "$0")/.."

cores=(claim suspect config membership pool accounting requestqueue)
readonly PROCESSES=4
# A process that takes longer than this is treated as hung; even the slowest one needs only a few seconds.
readonly PROCESS_LIMIT=2m
work=$(mktemp -d)
declare -A tests running=()
rounds=0 schedules=0 failures=0

# cleanup stops the processes that are still running and removes the working directory.
cleanup() {
  local pid
  for pid in "${!running[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${!running[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$work"
}
trap cleanup EXIT
trap 'exit 130' INT TERM

# seconds prints a duration such as 1h30m in seconds.
seconds() {
  local rest=$1 total=0
  while [[ $rest =~ ^([0-9]+)([hms])(.*)$ ]]; do
    case ${BASH_REMATCH[2]} in
      h) total=$((total + 3600 * 10#${BASH_REMATCH[1]})) ;;
      m) total=$((total + 60 * 10#${BASH_REMATCH[1]})) ;;
      s) total=$((total + 10#${BASH_REMATCH[1]})) ;;
    esac
    rest=${BASH_REMATCH[3]}
  done
  if [ -n "$rest" ] || [ "$total" -eq 0 ]; then
    echo "soak: \"$1\" is not a duration such as 90s or 1h30m" >&2
    return 2
  fi
  echo "$total"
}

# random_tests prints a regular expression of the tests of a package that use rapid, or nothing if there are none.
random_tests() {
  awk '/^func Test/ { split($2, name, "("); test = name[1] }
       /rapid\.(Check|MakeCheck)\(/ && !seen[test]++ { joined = joined (joined ? "|" : "") test }
       END { if (joined) print "^(" joined ")$" }' "internal/$1"/*_test.go
}

# start runs the randomized tests of a package in the background.
start() {
  local core=$1
  (cd "internal/$core" && exec "$work/$core.test" -test.v -test.run "${tests[$core]}" -test.timeout "$PROCESS_LIMIT" \
    -rapid.seed="$seed" -rapid.nofailfile > "$work/$core.out" 2>&1) &
  running[$!]=$core
}

# finish waits for one process and counts its passed schedules. It fails if the process failed or ran no schedule.
finish() {
  local pid status=0 core passed
  wait -n -p pid "${!running[@]}" || status=$?
  core=${running[$pid]}
  unset "running[$pid]"
  passed=$(awk '/\[rapid\] OK, passed/ { for (i = 1; i < NF; i++) if ($i == "passed") sum += $(i + 1) }
                END { print sum + 0 }' "$work/$core.out")
  schedules=$((schedules + passed))
  if [ "$status" -eq 0 ] && [ "$passed" -gt 0 ]; then return; fi
  failures=$((failures + 1))
  cat "$work/$core.out"
  echo "soak: $core failed with seed $seed and status $status after $passed schedules; repeat it with"
  echo "  go test ./internal/$core -count=1 -v -run '${tests[$core]}' -rapid.seed=$seed -rapid.nofailfile"
  return 1
}

# round runs the randomized tests of all selected packages with one seed.
round() {
  local core
  for core in "${cores[@]}"; do
    [ -n "${tests[$core]-}" ] || continue
    if [ "${#running[@]}" -ge "$PROCESSES" ]; then finish || return 1; fi
    start "$core"
  done
  while [ "${#running[@]}" -gt 0 ]; do finish || return 1; done
}

limit=$(seconds "${1:-5m}")
if [ $# -gt 1 ]; then cores=("${@:2}"); fi
for core in "${cores[@]}"; do
  found=$(random_tests "$core")
  if [ -z "$found" ]; then
    echo "soak: $core has no random schedules"
    continue
  fi
  tests[$core]=$found
  go test -c -o "$work/$core.test" "./internal/$core"
done
SECONDS=0
while [ "$failures" -eq 0 ] && [ "$SECONDS" -lt "$limit" ]; do
  seed=$(((SRANDOM << 30) + SRANDOM + 1))
  echo "seed $seed"
  rounds=$((rounds + 1))
  round || true
done
echo "soak: $rounds rounds, $schedules schedules, $failures failures in $SECONDS s"
[ "$failures" -eq 0 ]
