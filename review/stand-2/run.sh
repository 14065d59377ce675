# Plays a case: `run_case FOLDER NAME`. All processes that it starts are in one process group, which ends with it.
run_case() {
    local folder=$1 name=$2 temp driver guard status
    cd "$folder/../.."
    if [ ! -x target/release/tallypaddle ] || [ ! -x target/review-2/stand ]; then
        echo "build the release binary and review/build-2.sh first" >&2
        exit 2
    fi
    # The channels of many requesters: a process of the platform has 4,200 descriptors, the driver more.
    ulimit -n 20000 2>/dev/null || ulimit -n "$(ulimit -Hn)"
    temp=$(mktemp -d)
    set -m
    CASE_TEMP=$temp target/review-2/stand "$name" "$folder/record.txt" &
    driver=$!
    (sleep 115; kill -KILL -- "-$driver") 2>/dev/null &
    guard=$!
    disown "$guard"
    trap 'kill -KILL -- "-$driver" "-$guard" 2>/dev/null; rm -rf "$temp"' EXIT
    wait "$driver"
    status=$?
    tail -n 1 "$folder/record.txt"
    [ "$status" -le 1 ] || status=2
    exit "$status"
}
