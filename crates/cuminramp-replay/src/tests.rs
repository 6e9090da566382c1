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

/// Callers come in crests while items fill every slot that they leave. Items that do not leave at once
/// stand before callers, who hear nothing for seconds and give up.
#[test_case(1; "seed 1")]
#[test_case(2; "seed 2")]
#[test_case(3; "seed 3")]
fn batch_between_crests_makes_no_caller_wait(seed: u64) {
    let report = replay(LoadPattern::Waves, seed);

    assert!(share(report.in_time, report.requests) >= 0.95, "{report:?}");
    assert!(share(report.items_in_time, report.items) >= 0.95, "{report:?}");
}

/// Six times as many jobs come for three seconds, as at the end of a working day. There is room for all
/// of them by when they are due, if those that are due first go first at every host.
#[test_case(1; "seed 1")]
#[test_case(2; "seed 2")]
#[test_case(3; "seed 3")]
fn a_burst_of_jobs_that_fits_is_done_in_time(seed: u64) {
    let plan = ReplayPlan { jobs_per_s: 0.03, ..ReplayPlan::new(LoadPattern::JobBurst, seed) };

    let report = run_replay(&plan);

    assert!(share(report.items_in_time, report.items) >= 0.95, "{report:?}");
    assert!(share(report.in_time, report.requests) >= 0.95, "{report:?}");
}

/// A tenth of the targets breaks every connection for six seconds. Callers of requests that may run only
/// once get nothing from a send that broke; at most three in a hundred sends may.
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

/// Seventy hosts tell each other five times a second what they have in flight. Between two such moments
/// all see the same targets as the emptiest; where all send there, callers wait in queues while other
/// targets stand empty. No more than one in twenty may hear late.
#[test_case(1; "seed 1")]
#[test_case(2; "seed 2")]
#[test_case(3; "seed 3")]
fn hosts_with_old_news_do_not_crowd_one_target(seed: u64) {
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

/// Callers come in crests and troughs, and items enter each slot that is free. Did they enter slots that
/// the next callers need, most runs would end within milliseconds, each read anew at another target: an
/// item may give way once for each crest that it meets, and the crests of a run are at most two.
#[test_case(1; "seed 1")]
#[test_case(2; "seed 2")]
#[test_case(3; "seed 3")]
fn items_give_way_no_more_than_crests_come(seed: u64) {
    let report = replay(LoadPattern::Waves, seed);

    assert!(report.cut_runs <= 2 * report.items, "{report:?}");
    assert!(share(report.items_in_time, report.items) >= 0.95, "{report:?}");
}

/// All hosts lose power for a moment as a crest begins, while items fill the targets, which work on them for
/// seconds. Hosts that take those slots for free let callers queue behind that work. Where targets tell their
/// load, fewer callers have to hear late.
#[test_case(1; "seed 1")]
#[test_case(2; "seed 2")]
#[test_case(3; "seed 3")]
fn work_for_hosts_that_are_gone_keeps_fewer_callers_waiting_where_it_is_told(seed: u64) {
    let told = ReplayPlan {
        hosts: 35,
        targets: 45,
        length: Duration::from_secs(17),
        ..ReplayPlan::new(LoadPattern::PowerDip, seed)
    };

    let untold = ReplayPlan { tells_load: false, ..told };

    let (with, without) = (run_replay(&told), run_replay(&untold));

    assert!(with.late < without.late, "{with:?} {without:?}");
    assert!(with.in_time > without.in_time, "{with:?} {without:?}");
}
