# Functions for scripts that run a small system on loopback. Source this file from the repository's root.
#
#   system_begin            creates the folder $run for ports, settings and logs; stops all processes at exit
#   start_platform [ARG…]   starts standin-platform and sets platform_port
#   start_fleet NAME [ARG…] starts standin-backend; fleet_port NAME prints its control port
#   start_link [ARG…]       starts standin-link and sets link_port
#   start_instance NAME ZONE [SECTION.KEY=VALUE…]   starts lycheefieldd; http_port NAME prints its HTTP port
#   start_nine PREFIX [SECTION.KEY=VALUE…]   starts PREFIX0 to PREFIX8 in three zones, waits until all are ready and
#                           sets targets to their address:port
#   http METHOD PORT TARGET [BODY [HEADER]]         sends a request and prints the body of the response
#   stop NAME [SIGNAL]      sends a signal to the process, SIGTERM by default
#   wait_exit NAME          waits until the process ends and returns its exit code
#
# With LYCHEEFIELD_KEEP set, the folder $run is not deleted at exit.

build=${LYCHEEFIELD_BUILD:-build}
declare -A pids

system_begin()
{
    run=$(mktemp -d)
    trap system_end EXIT
}

system_end()
{
    local name
    for name in "${!pids[@]}"; do
        kill "${pids[$name]}" 2>/dev/null || true
    done
    for name in "${!pids[@]}"; do
        for _ in $(seq 100); do
            kill -0 "${pids[$name]}" 2>/dev/null || break
            sleep 0.1
        done
        kill -KILL "${pids[$name]}" 2>/dev/null || true
        wait "${pids[$name]}" 2>/dev/null || true
    done
    [ -n "${LYCHEEFIELD_KEEP:-}" ] || rm -rf "$run"
}

start()
{
    local name=$1
    shift
    "$@" >"$run/$name.log" 2>&1 &
    pids[$name]=$!
}

stop()
{
    kill -"${2:-TERM}" "${pids[$1]}"
}

wait_exit()
{
    local code=0
    wait "${pids[$1]}" || code=$?
    unset "pids[$1]"
    return $code
}

wait_file()
{
    for _ in $(seq 200); do
        [ -s "$1" ] && return 0
        sleep 0.05
    done
    echo "file $1 was not written within 10 s; the logs in $run follow" >&2
    cat "$run"/*.log >&2
    return 1
}

http()
{
    local body=${4:-} header=${5:-}
    exec 9<>"/dev/tcp/127.0.0.1/$2" || return 1
    printf '%s %s HTTP/1.1\r\nHost: 127.0.0.1\r\nConnection: close\r\n%sContent-Length: %s\r\n\r\n%s' \
        "$1" "$3" "${header:+$header$'\r\n'}" "${#body}" "$body" >&9
    timeout 10 sed '1,/^\r$/d' <&9
    exec 9<&- 9>&-
}

start_platform()
{
    start platform "$build/tests/standin-platform" --port-file "$run/platform.port" "$@"
    wait_file "$run/platform.port"
    platform_port=$(cat "$run/platform.port")
}

start_fleet()
{
    local name=$1
    shift
    start "fleet-$name" "$build/tests/standin-backend" --service "$name" --platform-port "$platform_port" --port-file "$run/fleet-$name.port" "$@"
    for _ in $(seq 200); do
        http GET "$platform_port" "/v1/objects/catalog/$name" 2>/dev/null | grep -q epoch && return 0
        sleep 0.05
    done
    cat "$run/fleet-$name.log" >&2
    return 1
}

# Prints the control port of a fleet.
fleet_port()
{
    wait_file "$run/fleet-$1.port"
    cat "$run/fleet-$1.port"
}

start_link()
{
    start link "$build/tests/standin-link" --port-file "$run/link.port" "$@"
    wait_file "$run/link.port"
    link_port=$(cat "$run/link.port")
}

start_instance()
{
    local name=$1 zone=$2 setting
    shift 2
    {
        printf '[instance]\nname = %s\nzone = %s\n[listen]\naddress = 127.0.0.1\n' "$name" "$zone"
        printf '[platform]\naddress = 127.0.0.1\nport = %s\n' "$platform_port"
        for setting in "$@"; do
            printf '[%s]\n%s = %s\n' "${setting%%.*}" "$(cut -d= -f1 <<<"${setting#*.}")" "${setting#*=}"
        done
    } >"$run/$name.ini"
    rm -f "$run/$name.ports"
    start "$name" "$build/lycheefieldd" --settings "$run/$name.ini" --ports-file "$run/$name.ports"
}

http_port()
{
    wait_file "$run/$1.ports"
    sed -n 's/^http = //p' "$run/$1.ports"
}

# Waits until the readiness check of an instance succeeds.
wait_ready()
{
    local port
    port=$(http_port "$1")
    for _ in $(seq 200); do
        (exec 8<>"/dev/tcp/127.0.0.1/$port" && printf 'GET /readyz HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n' >&8 && head -n 1 <&8 | grep -q ' 200 ') 2>/dev/null && return 0
        sleep 0.1
    done
    echo "instance $1 did not become ready within 20 s; the end of its log follows" >&2
    tail -n 20 "$run/$1.log" >&2
    return 1
}

# Prints the zone of instance number $1.
zone_of()
{
    local zones=(ikeja-a lekki-b ibadan-c)
    echo "${zones[$(($1 % 3))]}"
}

start_nine()
{
    local prefix=$1 i
    shift
    for i in {0..8}; do
        start_instance "$prefix$i" "$(zone_of "$i")" "$@"
    done
    targets=()
    for i in {0..8}; do
        wait_ready "$prefix$i"
        targets+=("127.0.0.1:$(http_port "$prefix$i")")
    done
}

# Prints the user and system time of a process, in milliseconds.
cpu_ms()
{
    awk '{ print ($14 + $15) * 10 }' "/proc/${pids[$1]}/stat"
}

# Prints the median of the numbers on standard input.
median()
{
    sort -g | awk '{ a[NR] = $1 } END { print (NR % 2) ? a[(NR + 1) / 2] : (a[NR / 2] + a[NR / 2 + 1]) / 2 }'
}

# Stores the platform's first rule file, before any instance runs. The fleets of the file's services must have started.
store_rules()
{
    "$build/lycheefield" --platform "127.0.0.1:$platform_port" apply "$1" --who scripts --base 0 --wait 0 >/dev/null
}
