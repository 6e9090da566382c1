use std::time::Duration;

use test_case::test_case;

use crate::{LoadPattern, ReplayPlan, ReplayReport, run_replay};

fn replay(pattern: LoadPattern, seed: u64) -> ReplayReport {
    run_replay(&ReplayPlan::new(pattern, seed))
}

fn share(part: u32, all: u32) -> f64 {
    f64::from(part) / f64::from(all.max(1))
}

#[test]
fn the_same_plan_gives_the_same_figures() {
    assert_eq!(replay(LoadPattern::JobBurst, 3), replay(LoadPattern::JobBurst, 3));
}

/// Requests arrive in peaks, and items fill every slot that is free between them. If items were not
/// preempted at once, requests would queue behind them for seconds, and callers would give up.
#[test_case(1; "seed 1")]
#[test_case(2; "seed 2")]
#[test_case(3; "seed 3")]
fn batch_between_peaks_delays_no_caller(seed: u64) {
    let report = replay(LoadPattern::Waves, seed);

    assert!(share(report.in_time, report.requests) >= 0.95, "{report:?}");
    assert!(share(report.items_in_time, report.items) >= 0.95, "{report:?}");
}

/// Jobs arrive at six times the usual rate for three seconds, as at the end of a working day. The fleet
/// has the capacity to complete all of them in time if every host runs items in the order of their due times.
#[test_case(1; "seed 1")]
#[test_case(2; "seed 2")]
#[test_case(3; "seed 3")]
fn a_burst_of_jobs_within_capacity_is_completed_in_time(seed: u64) {
    let plan = ReplayPlan { jobs_per_s: 0.03, ..ReplayPlan::new(LoadPattern::JobBurst, seed) };

    let report = run_replay(&plan);

    assert!(share(report.items_in_time, report.items) >= 0.95, "{report:?}");
    assert!(share(report.in_time, report.requests) >= 0.95, "{report:?}");
}

/// A tenth of the targets breaks every new connection for six seconds. Requests that may run only once fail
/// with such a send, so at most three in a hundred sends may break.
#[test_case(1; "seed 1")]
#[test_case(2; "seed 2")]
#[test_case(3; "seed 3")]
fn failing_targets_break_few_sends(seed: u64) {
    let plan = ReplayPlan {
        hosts: 35,
        targets: 45,
        report_interval: Duration::from_millis(100),
        length: Duration::from_secs(17),
        ..ReplayPlan::new(LoadPattern::FailingTargets, seed)
    };

    let report = run_replay(&plan);

    assert!(share(report.broken_sends, report.sends) <= 0.03, "{report:?}");
}

/// Hosts report their load only five times a second. Between two reports the same targets appear least loaded
/// to all of them; if all sent there, requests would queue at these while other targets idle. At most one
/// request in twenty may get its first event late.
#[test_case(1; "seed 1")]
#[test_case(2; "seed 2")]
#[test_case(3; "seed 3")]
fn hosts_with_outdated_loads_do_not_overload_one_target(seed: u64) {
    let plan = ReplayPlan {
        hosts: 35,
        targets: 45,
        report_interval: Duration::from_millis(200),
        length: Duration::from_secs(17),
        ..ReplayPlan::new(LoadPattern::Waves, seed)
    };

    let report = run_replay(&plan);

    assert!(share(report.in_time, report.requests) >= 0.95, "{report:?}");
}

/// Requests arrive in peaks and troughs, and items start in free slots. If they started in slots that the
/// next requests need, most runs would be preempted within milliseconds, and each would process its prompt
/// again at another target. An item may be preempted once per peak, and its run meets at most two peaks.
#[test_case(1; "seed 1")]
#[test_case(2; "seed 2")]
#[test_case(3; "seed 3")]
fn items_are_preempted_at_most_once_per_peak(seed: u64) {
    let report = replay(LoadPattern::Waves, seed);

    assert!(report.cut_runs <= 2 * report.items, "{report:?}");
    assert!(share(report.items_in_time, report.items) >= 0.95, "{report:?}");
}

/// All hosts lose power for half a second as a peak begins, while items fill the targets, which run them for
/// seconds more. Restarted hosts that count these slots as free let requests queue behind this orphaned
/// work. With loads that targets report, fewer requests get their first event late.
#[test_case(1; "seed 1")]
#[test_case(2; "seed 2")]
#[test_case(3; "seed 3")]
fn reported_loads_reduce_waiting_behind_orphaned_work(seed: u64) {
    let reported = ReplayPlan {
        hosts: 35,
        targets: 45,
        length: Duration::from_secs(17),
        ..ReplayPlan::new(LoadPattern::PowerDip, seed)
    };

    let unreported = ReplayPlan { targets_report_load: false, ..reported };

    let (with, without) = (run_replay(&reported), run_replay(&unreported));

    assert!(with.late < without.late, "{with:?} {without:?}");
    assert!(with.in_time > without.in_time, "{with:?} {without:?}");
}
