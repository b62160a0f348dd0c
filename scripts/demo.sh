#!/usr/bin/env bash
# Runs a small fleet with emulated external systems on loopback, sends one call of each kind and checks the answers.
# Stops every process that it has started by its process ID, also after a failure or an interrupt.
set -euo pipefail
cd "$(dirname "$0")/.."

readonly ROUTERS=("north-1 north" "north-2 north" "south-1 south")
readonly START_LIMIT_S=20
work=$(mktemp -d)
pids=()
routers=()
sent=0 answered=0 refused=0 wrong=0

# cleanup stops all processes, the most recently started one first, and removes the working directory.
cleanup() {
  local i
  for ((i = ${#pids[@]} - 1; i >= 0; i--)); do kill "${pids[i]}" 2>/dev/null || true; done
  for ((i = ${#pids[@]} - 1; i >= 0; i--)); do wait "${pids[i]}" 2>/dev/null || true; done
  rm -rf "$work"
}
trap cleanup EXIT
trap 'exit 130' INT TERM

# fail prints a message and the last lines of all logs and exits.
fail() {
  echo "demo: $*" >&2
  tail -n 5 "$work"/*.log >&2 || true
  exit 1
}

# await repeats a command until it succeeds; the script fails after START_LIMIT_S seconds.
await() {
  local what=$1 limit=$((SECONDS + START_LIMIT_S))
  shift
  until "$@"; do
    ((SECONDS < limit)) || fail "not in time: $what"
    read -rt 0.05 <> <(:) || true
  done
}

# emulate starts one emulated system, waits until it listens, and sets $address to its address.
emulate() {
  local name=$1
  shift
  bin/emulator "$@" --name "$name" > "$work/$name.out" 2> "$work/$name.log" &
  pids+=($!)
  await "$name listens" test -s "$work/$name.out"
  address=$(sed -n 's/.*"address":"\([^"]*\)".*/\1/p' "$work/$name.out")
}

# field prints a field of the "started" log event of a router.
field() {
  sed -n "s/.*\"$2\":\"\\([^\"]*\\)\".*\"message\":\"started\".*/\\1/p" "$work/$1.log"
}

# started reports whether a router has logged its "started" event.
started() { [ -n "$(field "$1" link)" ]; }

# serve starts a router in an availability zone and adds it to the host list.
serve() {
  local name=$1 zone=$2
  cat > "$work/$name.json" <<JSON
{"host": "$name", "region": "home", "zone": "$zone", "listen": "127.0.0.1:0", "operate": "127.0.0.1:0",
 "link": "127.0.0.1:0", "log": "$log", "hosts": "$hosts", "operator_hashes": ["$operator_hash"]}
JSON
  bin/chicorydale serve --settings "$work/$name.json" 2> "$work/$name.log" &
  pids+=($!)
  await "$name starts" started "$name"
  routers+=("$(field "$name" listen)")
  bin/emulator register --hosts "$hosts" --name "$name" --zone "$zone" --region home \
    --address "$(field "$name" listen)" --link "$(field "$name" link)"
}

# key generates an API key and prints the key and its hash.
key() { bin/chicorydale key | awk 'NR == 2 { print $1, $2 }'; }

# uuid7 prints a new idempotency key, a version 7 UUID.
uuid7() {
  local ms
  ms=$(date +%s%3N)
  printf '%08x-%04x-7%03x-%04x-%012x\n' $((ms >> 16)) $((ms & 0xffff)) $((RANDOM & 0xfff)) \
    $((0x8000 | (RANDOM & 0x3fff))) $(((RANDOM << 30) | (RANDOM << 15) | RANDOM))
}

# call sends one request to the router with the given index, prints the answer and counts the outcome.
call() {
  local what=$1 router=${routers[$2]} status=0
  shift 2
  sent=$((sent + 1))
  answer=$(bin/chicorydale --address "$router" --key "$customer_key" call --once "$@" 2>&1) || status=$?
  echo "--- $what through $router"
  echo "$answer"
  case $status in
    0) answered=$((answered + 1)) ;;
    3) refused=$((refused + 1)) ;;
    *) wrong=$((wrong + 1)) ;;
  esac
}

# in_force reports whether every router has the given version of the configuration.
in_force() {
  local router
  for router in "${routers[@]}"; do
    bin/chicorydale --address "$router" --key "$operator_key" config get --json 2>/dev/null \
      | grep -q "\"version\": $1" || return 1
  done
}

# listed reports whether every router knows all targets.
listed() {
  local router
  for router in "${routers[@]}"; do
    [ "$(bin/chicorydale --address "$router" --key "$operator_key" targets 2>/dev/null | wc -l)" -eq 5 ] || return 1
  done
}

# linked reports whether every router sees all other routers as up.
linked() {
  local router
  for router in "${routers[@]}"; do
    [ "$(bin/chicorydale --address "$router" --key "$operator_key" status --json 2>/dev/null \
      | grep -c '"state": "up"')" -eq $((${#ROUTERS[@]} - 1)) ] || return 1
  done
}

read -r operator_key operator_hash < <(key)
read -r customer_key customer_hash < <(key)
emulate log log
log=$address
emulate hosts hosts --lag 0s
hosts=$address
emulate engine-north engine --hosts "$hosts" --region home --zone north --model writer --interval 5ms
emulate engine-south engine --hosts "$hosts" --region home --zone south --model writer --interval 5ms
emulate shop-north service --hosts "$hosts" --region home --zone north --model shop
shop=$address
emulate shop-south service --hosts "$hosts" --region home --zone south --model shop
other_shop=$address
for router in "${ROUTERS[@]}"; do
  # shellcheck disable=SC2086 # The element is split into the name and the availability zone.
  serve $router
done
await "all routers know all targets" listed
await "all routers see each other" linked

cat > "$work/change.json" <<JSON
{"id": "demo-1", "base": 0, "author": "demo",
 "put_templates": [{"name": "small", "weight": 1, "limits": {"waiting": 100, "connections": 50},
   "classes": {"long": {"patience_ms": 30000, "long": true}, "quick": {"patience_ms": 1300},
               "tagging": {"patience_ms": 500}}}],
 "put_customers": [{"name": "printer", "template": "small", "weight": 2, "key_hashes": ["$customer_hash"]}],
 "put_services": [{"name": "shop", "operations": {"stock": true, "book": false}}]}
JSON
bin/chicorydale --address "${routers[0]}" --key "$operator_key" config publish "$work/change.json"
await "the configuration is in force everywhere" in_force 1

call "a long streamed call" 0 --model writer --class long --tokens 200 --prompt "Draft a brief of a leaf pattern"
call "a quick call" 1 --model writer --class quick --tokens 12 --prompt "Suggest a name for a blue"
call "a tagging call" 2 --model writer --class tagging --tokens 4 --prompt "Tag this artwork"
call "a stock look-up" 1 --service shop --operation stock --argument item=screen
booking=$(uuid7)
call "a booking" 0 --service shop --operation book --argument item=screen --repeat "$booking"
first=$answer
call "the same booking again" 2 --service shop --operation book --argument item=screen --repeat "$booking"
[ "$first" = "$answer" ] || wrong=$((wrong + 1))

# Requests through the gateway, which runs with an emulated store of the platform and two targets.
emulate platform-store store
store=$address
cat > "$work/config.json" <<JSON
{"version": 1, "routes": [
  {"name": "draft", "host": "demo.example", "path_prefix": "/draft/", "kind": "streaming", "timeout_ms": 5000,
   "target_latency_ms": 500, "service": "writer", "max_attempts": 1},
  {"name": "order", "host": "demo.example", "path_prefix": "/order/", "kind": "unsafe", "timeout_ms": 2000,
   "target_latency_ms": 200, "service": "shop", "max_attempts": 1, "allow_anonymous": true}],
 "services": [], "limits": {"max_body_bytes": 65536, "idle_timeout_ms": 15000},
 "tenants": [{"name": "printer", "api_keys": ["demo-key"]}]}
JSON
bin/emulator put --store "$store" --topic keyed.op --key config "$work/config.json"
emulate writer-1 replica --store "$store" --service writer --zone north --events 5
emulate shop-1 replica --store "$store" --service shop --zone north
cat > "$work/edge.json" <<JSON
{"node_name": "edge-1", "zone": "north", "region": "home", "zones": {"north": "home"}, "ip": "127.0.0.1",
 "listen": {"front": "127.0.0.1:0", "ready": "127.0.0.1:0"}, "internal_port_range": [0, 0],
 "bounds": {"retry_budget_ratio": 0.2, "retry_budget_extra": 50, "grace_s": 8}, "platform": {"address": "$store"}}
JSON
bin/chicorydale edge --settings "$work/edge.json" > "$work/edge-1.log" 2>&1 &
pids+=($!)
await "the gateway starts" started edge-1
front=$(field edge-1 listen)

# pass sends a request through the gateway and prints the HTTP response.
pass() {
  local path=$1 id=$2 key=$3
  exec 3<> "/dev/tcp/${front%:*}/${front##*:}"
  printf 'POST %s HTTP/1.1\r\nHost: demo.example\r\nX-Attempt-Id: %s\r\nX-Credential: %s\r\nConnection: close\r\n\r\n' \
    "$path" "$id" "$key" >&3
  cat <&3
  exec 3>&-
}
# serves reports whether the gateway serves both routes.
serves() { pass /draft/ ready-1 demo-key 2> /dev/null | grep -q "200 OK" && pass /order/ ready-2 "" | grep -q "200 OK"; }
await "the gateway serves" serves

# passed sends a request through the gateway, prints the response, and counts whether it contains the expected text.
passed() {
  local what=$1 want=$2
  shift 2
  sent=$((sent + 1))
  answer=$(pass "$@")
  echo "--- $what through the gateway"
  echo "$answer"
  if grep -q "$want" <<< "$answer"; then answered=$((answered + 1)); else wrong=$((wrong + 1)); fi
}
passed "a streamed draft" "data: event 5" /draft/1 draft-1 demo-key
passed "an order" "answer to order-1" /order/1 order-1 ""

booked=0
for replica in "$shop" "$other_shop"; do
  count=$(bin/emulator bookings --service "$replica" --key "$booking")
  booked=$((booked + count))
done
[ "$booked" -eq 1 ] || wrong=$((wrong + 1))
status=0
[ $((answered + wrong)) -eq "$sent" ] && [ "$wrong" -eq 0 ] || status=1
echo "sent $sent, answered $answered, refused $refused, wrong $wrong, bookings run $booked"
exit "$status"
