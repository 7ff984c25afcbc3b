#!/usr/bin/env bash
# By hand: breaks the core and the module on purpose, a guard at a time, and looks whether the lab finds it.
#
#     tests/lab/mutations.sh BUILD OUT [NAME...]
#
# BUILD holds a Release build of flaxdoor_lab by Makefiles. The tree stays as it is: a copy of the one source file
# is changed in OUT, compiled, and linked ahead of the library's. Each row must change exactly one line (of the journal,
# three). Of each, the smallest world goes to OUT/NAME.toml (hunt), or the orders or the story to OUT/NAME.txt (explore,
# budget).
# Ends with 0 when all were found and the program as it is shows nothing in the same worlds.
set -euo pipefail
build=$(cd "$1" && pwd)
mkdir -p "$2"
out=$(cd "$2" && pwd)
shift 2
root=$(cd "$(dirname "$0")/../.." && pwd)
worlds=$root/lab/experiments
seed=${SEED:-1} draws=${DRAWS:-100} shrinks=${SHRINKS:-300} threads=${THREADS:-2} paths=${PATHS:-20000}
decide=src/policy/decide.cpp core=src/core/core.cpp
holder=src/budget/holder.cpp allowance=src/budget/allowance.cpp authority=src/budget/authority.cpp
journal=lab/budgets/world.cpp worlds_most=${WORLDS:-1000}

# Name, rule, source, tool, world, what sed does.
rows() {
    cat <<END
unsafe_again|2|$decide|hunt|hunt.toml|s/if (class_settings.effect == Effect::unsafe) return false;//
keyed_window|2|$decide|hunt|hunt.toml|s/if (now + settings_.tick >= attempt.sent_at + open.dedup_window) return false;//
keyed_group|2|$decide|hunt|hunt.toml|s/if (!in_same_group(class_settings.group, attempt, upstreams_\[target\].entry)) return false;//
reset_never_ran|2|$decide|hunt|hunt.toml|s/^\( *attempt.may_have_executed = end.outcome != Outcome::full\) &&/\1 \&\& end.outcome != Outcome::reset \&\&/
refusal|2|$decide|hunt|hunt.toml|s/^\( *\)if (class_settings.effect == Effect::safe ||$/\1if (true ||/
cold_budget|4|$decide|hunt|hunt_cold.toml|s/if (fraction >= 1 || settings_.fall_span <= Micros{0}) return true;/return true;/
drain_unheard|3|$core|hunt|hunt.toml|s/const bool drains = addresses_.update(/const bool drains = false \&\& addresses_.update(/
answered_twice|1|$core|hunt|hunt.toml|s/if (!open.answered && may_answer && attempt->outcome == Outcome::ok)/if (may_answer \&\& attempt->outcome == Outcome::ok)/
reset_never_ran_in_order|2|$decide|explore|small.toml|s/^\( *attempt.may_have_executed = end.outcome != Outcome::full\) &&/\1 \&\& end.outcome != Outcome::reset \&\&/
drain_unheard_in_order|3|$core|explore|small.toml|s/const bool drains = addresses_.update(/const bool drains = false \&\& addresses_.update(/
late_deadline|1|$core|hunt|hunt.toml|s/open.deadline = received + budget - std::min(unseen, budget \/ 2);/open.deadline = received + 2 * budget;/
term_from_receipt|shares|$holder|budget|mixed|s/const Time until = sent_at + lease_term_at_holder/const Time until = now + lease_term_at_holder/
lower_fence|shares|$holder|budget|mixed|s/if (fence <= accepted_fence_ || until <= now) return;/if (until <= now) return;/
reply_before_write|shares|$journal|budget|authority|s/if (now_ < site.writes_fail_until) return;/;/;s/^\( *\)if (site.dies_after) return site_dies(site, site.how);/\1;/;s/if (site.dies_ahead) return site_dies(site, site.how);/const bool dies = site.dies_ahead; const Trouble how = site.how; if (dies) { site_dies(site, how); carry(process.name, false, [this, \&process, reply] { in(process, now_, [this, \&process, reply] { process.holder->on_reply(reply, local(process)); tell_shares(process, true); }); }); return; }/
full_bucket|work|$allowance|budget|mixed|s/^    lease_ = share;/    lease_ = share; tokens_ = (share.size + reserve_.size - reserved_) * tokens_per_permit;/
places_back_at_once|places|$authority|budget|mixed|s/^\( *\)is_concurrency ? lengthened_by_drift(terms_.max_attempt_duration, terms_.max_clock_drift) : Micros{0};/\1Micros{0};/
grown_before_told|shares|$authority|budget|mixed|s/const Amount share = component_min(wanted, positive(left));/const Amount share = wanted;/
aside_revived|work|$allowance|budget|mixed|s/^    revoked_ += std::max.*;/    ;/
no_wait_after_start|shares|$authority|budget|mixed|s/if (!start.complete) begin_waiting(now);/;/
old_requests_heeded|shares|$authority|budget|mixed|s/request.number <= found->second.number/request.number == 0/
superseded_by_grant|shares|$authority|budget|mixed|s/return g.fence < request.accepted; })/return g.fence < request.accepted || g.fence.seq + 1 < seq_; })/
lease_never_looked_at|work|$allowance|budget|mixed|s/^    if (updated_at_ < lease_until_ && lease_until_ <= now) {/    if (updated_at_ < lease_until_ \&\& lease_until_ + std::chrono::hours(1) <= now) {/
fast_clocks_fill|work|$allowance|budget|mixed|s/tokens_ += static_cast<std::int64_t>(accrued \* fill_factor_/tokens_ += static_cast<std::int64_t>(accrued * million/
fast_clocks_free|places|$allowance|budget|mixed|s/longest_(drift > 0 ? lengthened_by_drift(longest, drift) : longest)/longest_(longest)/
END
}

flags="-std=c++20 -O2 -I$root/include -I$root/src -I$root/lab"
link_line=$(cat "$build/lab/apps/CMakeFiles/flaxdoor_lab.dir/link.txt")
mutant() {  # NAME SOURCE SED: the program with it, at OUT/NAME
    sed "$3" "$root/$2" >"$out/$1.cpp"
    local changed
    changed=$(diff "$root/$2" "$out/$1.cpp" | grep -c '^<' || true)
    local should=1
    [ "$2" != "$journal" ] || should=3
    [ "$changed" = "$should" ] || { echo "$1: $changed lines changed in $2, not $should" >&2; return 1; }
    ${CXX:-c++} $flags -c "$out/$1.cpp" -o "$out/$1.o"
    (cd "$build/lab/apps" && eval "${link_line/CMakeFiles\/flaxdoor_lab.dir\/flaxdoor_lab.cpp.o/$out/$1.o CMakeFiles\/flaxdoor_lab.dir\/flaxdoor_lab.cpp.o} -o $out/$1")
}
look() {  # PROGRAM NAME TOOL WORLD: ends as the tool does, 1 when a rule broke
    case $3 in
        hunt) "$1" hunt "$worlds/$4" --seed "$seed" --draws "$draws" --shrinks "$shrinks" -j "$threads" -o "$out/$2.toml" ;;
        budget) "$1" budget --seeds "1..$worlds_most" --world "$4" ;;
        explore) "$1" explore "$worlds/$4" --paths "$paths" --seconds 120 ;;
    esac >"$out/$2.txt" 2>"$out/$2.err"
}

failed=0
while IFS='|' read -r name rule source tool world change; do
    [ $# = 0 ] || [[ " $* " == *" $name "* ]] || continue
    mutant "$name" "$source" "$change"
    began=$(date +%s.%N)
    ended=0
    look "$out/$name" "$name" "$tool" "$world" || ended=$?
    took=$(echo "$(date +%s.%N) - $began" | bc)
    if [ "$ended" = 1 ] && grep -q "rule\|fault\|^seed" "$out/$name.txt"; then
        printf '%s\trule %s\t%s %s\tfound in %.1f s\n' "$name" "$rule" "$tool" "$world" "$took"
        head -n 1 "$out/$name.txt" | cut -c 1-200
        [ "$tool" = budget ] || tail -n 1 "$out/$name.txt" | cut -c 1-200
    else
        printf '%s\trule %s\t%s %s\tNOT FOUND in %.1f s (%s)\n' "$name" "$rule" "$tool" "$world" "$took" "$ended"
        failed=1
    fi
done < <(rows)
exit $failed
