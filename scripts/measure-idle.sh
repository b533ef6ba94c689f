#!/usr/bin/env bash
# Measures an idle fleet of separate processes on this machine: processor time, memory and control bytes of each
# entry instance. Usage: scripts/measure-idle.sh WORKERS ENTRIES SECONDS [PORT]
#   WORKERS  in five pools over three zones, hosted by three processes for each pool (default 50, at most 600)
#   ENTRIES  entry instances (default 6, at most 6)
#   SECONDS  measured time after 10 s of warm-up (default 15, at most 30)
#   PORT     this port and the 1,000 from it on must be free (default 23000)
# Binaries are read from target/release. Bytes are those of the TCP connections that are open at both ends of the
# measured time, payload without IP and TCP headers, from `ss`.
set -euo pipefail
cd "$(dirname "$0")/.."

workers=${1:-50} entries=${2:-6} seconds=${3:-15} port=${4:-23000}
if [ "$workers" -gt 600 ] || [ "$entries" -gt 6 ] || [ "$seconds" -gt 30 ]; then sed -n '2,9s/^# //p' "$0" >&2; exit 2; fi
host=127.0.0.1
platform=$host:$port
bin=${CARGO_TARGET_DIR:-target}/release
zones=(zone-a zone-b zone-c)
pools=(orders quotes sweeps renders spare)
started=() ids=()
logs=$(mktemp -d)
RATTANFALL_CREDENTIAL=$(od -An -N16 -tx1 /dev/urandom | tr -d ' \n')
export RATTANFALL_CREDENTIAL

stop() {
  local code=$?
  trap - EXIT
  # Entry instances write leave records to the platform's log when they stop, so the platform stops after them.
  for id in "${ids[@]}"; do kill "$id" 2>/dev/null || true; done
  for id in "${ids[@]}"; do wait "$id" 2>/dev/null || true; done
  for id in "${started[@]}"; do kill "$id" 2>/dev/null || true; done
  for id in "${started[@]}"; do wait "$id" 2>/dev/null || true; done
  rm -rf "$logs"
  exit "$code"
}
trap stop EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

start() {
  local name=$1
  shift
  "$@" >"$logs/$name.out" 2>"$logs/$name.log" &
  started+=($!)
}

call() {
  exec 3<>"/dev/tcp/${2%:*}/${2##*:}" || return 1
  printf '%s %s HTTP/1.1\r\nhost: %s\r\ncontent-length: %s\r\nconnection: close\r\n\r\n%s' "$1" "$3" "$2" "${#4}" "$4" >&3
  cat <&3 >/dev/null
  exec 3>&-
}

start platform "$bin/rattanfall-standin" platform --listen "$platform"
sleep 1
each=$((workers / 15)) next=$((port + 100))
for pool in "${pools[@]}"; do
  for zone in "${zones[@]}"; do
    count=$each
    if [ "$zone" = zone-a ]; then count=$((workers / 5 - 2 * each)); fi
    start "$pool-$zone" "$bin/rattanfall-standin" worker --platform "$platform" --port "$next" --count "$count" \
      --name "$pool-$zone" --pool "$pool" --zone "$zone" --rack "$zone-$pool" --slots 8
    next=$((next + count))
  done
done
for ((n = 0; n < entries; n++)); do
  peer=$host:$((port + 30 + n)) nonce=$((RANDOM * 32768 + RANDOM + 1)) zone=${zones[$((n % 3))]}
  call PUT "$platform" "/instances/entry-$n" "{\"name\":\"entry-$n\",\"nonce\":$nonce,\"kind\":\"entry\",\"address\":\"$peer\",\"zone\":\"$zone\",\"state\":\"live\"}"
  start "entry-$n" "$bin/rattanfall-entry" --name "entry-$n" --zone "$zone" --nonce "$nonce" --platform "$platform" \
    --callers "$host:$((port + 10 + n))" --operators "$host:$((port + 20 + n))" --peers "$peer"
  ids+=("${started[-1]}")
done
sleep 4
RATTANFALL_OPERATOR=$host:$((port + 20)) "$bin/rattanctl" apply --yes examples/fleet.toml >/dev/null
sleep 10

ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }

# Prints local address, peer address, bytes sent and bytes received of each open connection of a process.
connections() {
  ss -tniHp state established | awk -v id="pid=$1," '
    index($0, id) {key = $3 " " $4; next}
    /^[ \t]/ && key {
      sent = received = 0
      for (i = 1; i <= NF; i++) {
        if ($i ~ /^bytes_sent:/) {split($i, part, ":"); sent = part[2]}
        if ($i ~ /^bytes_received:/) {split($i, part, ":"); received = part[2]}
      }
      print key, sent, received; key = ""; next}
    {key = ""}'
}

for id in "${ids[@]}"; do ticks "$id" >"$logs/$id.ticks"; connections "$id" >"$logs/$id.before"; done
sleep "$seconds"
echo "load average $(cut -d' ' -f1 /proc/loadavg) on $(nproc) cores; $workers workers, $entries entry instances, idle, $seconds s"
printf '%-10s %8s %8s %12s %12s %12s %12s\n' instance 'core %' 'MB' 'peers out' 'peers in' 'platform out' 'platform in'
for n in "${!ids[@]}"; do
  id=${ids[$n]}
  spent=$(($(ticks "$id") - $(cat "$logs/$id.ticks")))
  memory=$(awk '/^VmRSS/ {print $2}' "/proc/$id/status")
  connections "$id" >"$logs/$id.after"
  awk -v s="$seconds" -v t="$spent" -v hz="$(getconf CLK_TCK)" -v kb="$memory" -v name="entry-$n" -v platform="$platform" '
    NR == FNR {sent[$1 " " $2] = $3; received[$1 " " $2] = $4; next}
    ($1 " " $2) in sent {
      kind = $2 == platform ? "platform" : "peers"
      out[kind] += $3 - sent[$1 " " $2]; into[kind] += $4 - received[$1 " " $2]}
    END {printf "%-10s %8.2f %8.1f %10.0f/s %10.0f/s %10.0f/s %10.0f/s\n", name, t / hz / s * 100, kb / 1024,
      out["peers"] / s, into["peers"] / s, out["platform"] / s, into["platform"] / s}' "$logs/$id.before" "$logs/$id.after"
done
