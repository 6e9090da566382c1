//! Limits of the quarantine of parts: how many requests get through, and how long sound ones are held back.

use std::time::Duration;

use tokio::time::Instant;

use super::{MAX_RECORDS, MAX_REPORTS, PartDecision, PartTable, PoolPart};
use crate::prompt_parts::{PartPolicy, PromptPart};

fn part(id: &str) -> PoolPart {
    PromptPart::new(id).in_pool("pool-1")
}

fn is_held(table: &PartTable, parts: &[PoolPart], now: Instant) -> bool {
    matches!(table.decide(parts, now, |_| Duration::MAX), PartDecision::Hold(_))
}

/// Sends a request with the part every `interval` to targets in turn, each of which crashes. Returns the times at
/// which requests reached targets.
fn send_guilty(
    table: &mut PartTable,
    start: Instant,
    interval: Duration,
    count: u32,
    target_of: impl Fn(u32) -> u32,
) -> Vec<Instant> {
    let guilty = [part("guilty")];
    let mut sent = vec![];
    for index in 0..count {
        let now = start + interval * index;
        if let PartDecision::Hold(_) = table.admit(&guilty, now, |_| Duration::ZERO) {
            continue;
        }
        sent.push(now);
        table.record_crash(&guilty, target_of(sent.len() as u32), now);
    }
    sent
}

/// Returns the number of sends later than 3 s after the fifth crash.
fn sent_late(sent: &[Instant]) -> usize {
    let Some(fifth) = sent.get(4) else { return 0 };
    sent.iter().filter(|at| **at > *fifth + Duration::from_secs(3)).count()
}

/// A pool has one target that is back within 1.5 s. Guards against crashes of it that count as one.
#[test]
fn crashes_of_the_only_target_are_counted() {
    let mut table = PartTable::default();
    let sent = send_guilty(&mut table, Instant::now(), Duration::from_millis(1_500), 100, |_| 1);
    assert!(sent_late(&sent) <= 3, "{} sends late of {}", sent_late(&sent), sent.len());
}

/// Requests with the part are rare and sent once each. Guards against crashes that are forgotten before the next.
#[test]
fn rare_crashes_are_counted() {
    let mut table = PartTable::default();
    let sent = send_guilty(&mut table, Instant::now(), Duration::from_secs(61), 40, |at| at);
    assert!(sent_late(&sent) <= 3, "{} sends late of {}", sent_late(&sent), sent.len());
}

/// The part was sound before it began to crash targets. Guards against a limit beyond what may be sent.
#[test]
fn a_part_that_was_sound_before_is_held_in_time() {
    let mut table = PartTable::default();
    let start = Instant::now();
    table.record_sound(&[part("guilty")], start);
    let first = start + Duration::from_secs(1);
    let sent = send_guilty(&mut table, first, Duration::from_secs(4), 40, |at| at);
    assert!(sent_late(&sent) <= 3, "{} sends late of {}", sent_late(&sent), sent.len());
}

/// The part crashes the targets of three pools. Guards against crashes that are counted for each pool alone.
#[test]
fn a_part_is_held_in_all_pools() {
    let mut table = PartTable::default();
    let start = Instant::now();
    let mut sent = vec![];
    for index in 0..120 {
        let now = start + Duration::from_secs(1) * index;
        let guilty = PromptPart::new("guilty").in_pool(&format!("pool-{}", index % 3));
        if let PartDecision::Hold(_) = table.admit(&[guilty], now, |_| Duration::ZERO) {
            continue;
        }
        sent.push(now);
        table.record_crash(&[guilty], index, now);
    }
    assert!(sent_late(&sent) <= 3, "{} sends late of {}", sent_late(&sent), sent.len());
}

/// All hosts are killed after the quarantine, which was saved. Guards against requests that reach targets anew.
#[test]
fn a_kill_of_all_hosts_lets_no_more_through_than_allowed() {
    let start = Instant::now();
    let (mut before, mut after) = (PartTable::default(), PartTable::default());
    let mut sent = send_guilty(&mut before, start, Duration::from_secs(1), 90, |at| at);
    let killed = start + Duration::from_secs(95);
    for part in before.quarantined_for(Duration::from_secs(5), killed) {
        after.restore(part, killed);
    }
    sent.extend(send_guilty(&mut after, killed, Duration::from_secs(1), 90, |at| at));
    assert!(sent_late(&sent) <= 3, "{} sends late of {}", sent_late(&sent), sent.len());
}

/// Several hosts see a crash each before they hear of the others'. Guards against a quarantine that needs one more.
#[test]
fn merged_crashes_begin_a_quarantine() {
    let start = Instant::now();
    let mut tables: Vec<PartTable> = (0..5).map(|_| PartTable::default()).collect();
    for (index, table) in tables.iter_mut().enumerate() {
        let at = start + Duration::from_millis(60) * index as u32;
        table.record_crash(&[part("guilty")], index as u32, at);
    }
    let now = start + Duration::from_millis(400);
    let reports: Vec<_> = tables.iter().flat_map(|table| table.reports(now)).collect();
    for table in &mut tables {
        reports.iter().for_each(|report| {
            table.merge(report, now);
        });
    }
    assert!(tables.iter().any(|table| is_held(table, &[part("guilty")], now)));
}

/// Two hosts hold a sound part back, and both trials were lost. Guards against a quarantine that never ends.
#[test]
fn a_quarantine_ends_on_hosts_that_report_it_to_each_other() {
    let start = Instant::now();
    let suspect = part("suspect");
    let (mut one, mut other) = (PartTable::default(), PartTable::default());
    for target in 0..3 {
        one.record_crash(&[suspect], target, start + Duration::from_secs(target.into()));
    }
    one.admit(&[suspect], start + Duration::from_secs(4), |_| Duration::ZERO);
    one.admit(&[suspect], start + Duration::from_secs(40), |_| Duration::ZERO);
    let mut now = start + Duration::from_secs(41);
    let end = start + PartPolicy::default().quarantine_lifetime * 5;
    while now < end {
        for report in one.reports(now) {
            other.merge(&report, now);
        }
        now += Duration::from_secs(1);
        for report in other.reports(now) {
            one.merge(&report, now);
        }
        // The crash of another request lets each host drop what has expired.
        one.record_crash(&[part("else")], 1, now);
        other.record_crash(&[part("else")], 1, now);
    }
    assert!(!is_held(&one, &[suspect], now), "held after five lifetimes");
}

/// The trials came to no result, as a target refused them or the caller left. Guards against a sound part that is held.
#[test]
fn a_trial_without_a_result_is_repeated() {
    let start = Instant::now();
    let suspect = part("suspect");
    let mut table = PartTable::default();
    for target in 0..3 {
        table.record_crash(&[suspect], target, start + Duration::from_secs(target.into()));
    }
    table.admit(&[suspect], start + Duration::from_secs(4), |_| Duration::ZERO);
    table.admit(&[suspect], start + Duration::from_secs(40), |_| Duration::ZERO);
    let now = start + Duration::from_secs(600);
    assert_eq!(table.decide(&[suspect], now, |_| Duration::ZERO), PartDecision::Trial(suspect));
}

/// A host that has just started holds a part back for three crashes. Guards against its lower limit at hosts that have
/// seen sound responses with the part.
#[test]
fn a_host_applies_its_own_limit_to_reports() {
    let start = Instant::now();
    let suspect = part("suspect");
    let (mut started, mut knowing) = (PartTable::default(), PartTable::default());
    knowing.record_sound(&[suspect], start);
    for target in 0..3 {
        let at = start + Duration::from_millis(100) * (target + 1);
        started.record_crash(&[suspect], target, at);
    }
    let now = start + Duration::from_millis(400);
    for report in started.reports(now) {
        knowing.merge(&report, now);
    }
    assert!(!is_held(&knowing, &[suspect], now));
}

/// Sixteen parts were suspected after the quarantine. Guards against hosts that start then and hear nothing of it.
#[test]
fn quarantines_are_reported_before_suspicions() {
    let start = Instant::now();
    let mut table = PartTable::default();
    for target in 0..3 {
        table.record_crash(&[part("guilty")], target, start + Duration::from_secs(target.into()));
    }
    let now = start + Duration::from_secs(5);
    for index in 0..MAX_REPORTS {
        table.record_crash(&[part(&format!("other-{index}"))], 9, now);
    }
    assert!(table.reports(now).iter().any(|report| report.part == part("guilty")));
}

/// Targets crash under requests with sixteen parts each, the most that are read. Guards against memory that grows with
/// what callers name.
#[test]
fn long_lists_of_parts_are_bounded() {
    let mut table = PartTable::default();
    let now = Instant::now();
    for request in 0..200 {
        let parts: Vec<PoolPart> =
            (0..16).map(|index| part(&format!("{request}-{index}"))).collect();
        table.record_crash(&parts, request, now);
    }
    assert!(table.counts().suspected <= MAX_RECORDS, "{}", table.counts().suspected);
}

/// A host hears of a quarantine. Guards against a broadcast by each receiver, with every sound response, which
/// grows with the square of the number of hosts.
#[test]
fn a_receiver_of_a_quarantine_does_not_report_it_to_all_hosts() {
    let start = Instant::now();
    let mut one = PartTable::default();
    for target in 0..3 {
        one.record_crash(&[part("guilty")], target, start + Duration::from_secs(target.into()));
    }
    let now = start + Duration::from_secs(2);
    let mut other = PartTable::default();
    let has_news = one.reports(now).iter().any(|report| other.merge(report, now));
    let sound = other.record_sound(&[part("unrelated")], now);
    assert!(is_held(&other, &[part("guilty")], now));
    assert!(!has_news && !sound.has_news);
}

/// The first request with a part runs on three targets that other requests crash. Guards against a sound part that stays
/// held where its requests do not come to the one host that may try it.
#[test]
fn a_sound_part_beside_the_guilty_one_is_served_again() {
    let start = Instant::now();
    let (shared, guilty, subject) = (part("shared"), part("guilty"), part("subject"));
    let mut table = PartTable::default();
    table.record_sound(&[shared], start);
    for target in 0..3 {
        let at = start + Duration::from_millis(200) * (target + 1);
        table.record_crash(&[shared, guilty, part(&format!("own-{target}"))], target, at);
        table.record_crash(&[shared, subject], target, at);
        table.record_sound(&[shared, part("other")], at + Duration::from_millis(100));
    }
    assert!(is_held(&table, &[shared, guilty], start + Duration::from_secs(1)));
    let later = start + Duration::from_secs(3_000);
    assert!(!is_held(&table, &[shared, subject], later), "held for 3000 s");
}

/// No host has seen a sound response since all were killed, and a sound part follows the guilty one. Guards against
/// sound requests that are held in place of the guilty ones for longer than a trial takes.
#[test]
fn a_sound_part_after_the_guilty_one_is_not_held_in_its_place() {
    let start = Instant::now();
    let (guilty, common) = (part("guilty"), part("common"));
    let mut table = PartTable::default();
    let sent = [guilty, common];
    for target in 0..3 {
        table.record_crash(&sent, target, start + Duration::from_millis(200) * target);
    }
    let tried = start + Duration::from_millis(1_500);
    assert_eq!(table.admit(&sent, tried, |_| Duration::ZERO), PartDecision::Trial(common));
    table.record_crash(&sent, 7, tried);
    let sound = tried + Duration::from_secs(1);
    assert_eq!(table.admit(&[common], sound, |_| Duration::ZERO), PartDecision::Admit);
    table.record_sound(&[common], sound);
    let later = start + Duration::from_secs(20);
    assert!(!is_held(&table, &[common], later), "the sound part is held after 20 s");
    assert!(is_held(&table, &[guilty], later));
}

/// The part crashes the targets of two pools, and those of a third are sound. Guards against requests that are held there,
/// and against a sound response there that lets the part crash the others again.
#[test]
fn a_sound_response_clears_a_part_in_its_pool_only() {
    let mut table = PartTable::default();
    let start = Instant::now();
    let [first, second, sound] =
        ["pool-1", "pool-2", "pool-3"].map(|pool| PromptPart::new("guilty").in_pool(pool));
    table.record_sound(&[sound], start);
    for (index, crashed) in [first, second, first].into_iter().enumerate() {
        let at = start + Duration::from_secs(index as u64 + 1);
        table.record_crash(&[crashed], index as u32, at);
    }
    let now = start + Duration::from_secs(4);
    table.record_sound(&[sound], now);

    let held = [first, second, sound].map(|part| is_held(&table, &[part], now));

    assert_eq!(held, [true, true, false]);
}
