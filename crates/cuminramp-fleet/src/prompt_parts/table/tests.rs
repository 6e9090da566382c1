use std::time::Duration;

use test_case::test_case;
use tokio::time::Instant;

use super::{MAX_RECORDS, MAX_SOUND_PARTS, PartDecision, PartTable, PoolPart};
use crate::prompt_parts::PromptPart;

fn part(id: &str) -> PoolPart {
    PromptPart::new(id).in_pool("pool-1")
}

fn is_held(table: &PartTable, parts: &[PoolPart], now: Instant) -> bool {
    matches!(table.decide(parts, now, |_| Duration::MAX), PartDecision::Hold(_))
}

/// Records crashes of targets `first..first + count` under a request, a second apart. Returns the time after them.
fn crash(
    table: &mut PartTable,
    parts: &[PoolPart],
    first: u32,
    count: u32,
    at: Instant,
) -> Instant {
    for index in 0..count {
        table.record_crash(parts, first + index, at + Duration::from_secs(index.into()));
    }
    at + Duration::from_secs(count.into())
}

/// Requests with a guilty part share their other parts with sound requests. Guards against sound requests that are
/// held back, and against targets that keep crashing.
#[test]
fn the_part_that_no_sound_response_clears_is_held() {
    let (shared, guilty) = (part("shared"), part("guilty"));
    let mut table = PartTable::default();
    let mut now = Instant::now();
    for target in 0..3 {
        now = crash(&mut table, &[shared, guilty], target, 1, now);
        table.record_sound(&[shared, part("other")], now);
    }

    assert!(is_held(&table, &[shared, guilty], now));
    assert!(!is_held(&table, &[shared, part("other")], now));
}

/// Right after a start no part is known to be sound. Guards against a part that all requests share and that is held
/// along with the guilty one.
#[test]
fn of_two_equal_suspects_neither_is_held_alone() {
    let (shared, guilty) = (part("shared"), part("guilty"));
    let mut table = PartTable::default();

    let now = crash(&mut table, &[shared, guilty], 0, 6, Instant::now());
    let are_held =
        [is_held(&table, &[shared, guilty], now), is_held(&table, &[shared, part("other")], now)];
    table.record_sound(&[shared, part("other")], now);

    assert_eq!(are_held, [true, false]);
    assert!(is_held(&table, &[guilty], now));
    assert!(!is_held(&table, &[shared], now));
}

/// The guilty part is followed by a different one in each request. Guards against three crashes for each of those.
#[test]
fn an_earlier_part_is_held_if_the_parts_after_it_differ() {
    let guilty = part("guilty");
    let mut table = PartTable::default();
    let mut now = Instant::now();
    for target in 0..5 {
        now = crash(&mut table, &[guilty, part(&format!("rare-{target}"))], target, 1, now);
    }

    assert!(is_held(&table, &[guilty], now));
}

/// Guards against a part that is held for crashes that no request caused: targets that crash in waves, or one target
/// that several requests report.
#[test_case(10, 4; "many targets at once")]
#[test_case(250, 1; "one target")]
fn crashes_with_a_common_cause_count_once(interval_ms: u64, targets: u32) {
    let suspect = part("suspect");
    let mut table = PartTable::default();
    let mut now = Instant::now();
    for index in 0..4 {
        table.record_crash(&[suspect], index % targets, now);
        now += Duration::from_millis(interval_ms);
    }

    assert!(!is_held(&table, &[suspect], now));
}

/// In a large fleet over a hundred targets may crash in a second. Guards against a record that keeps the last crashes
/// only, which are too close to each other to count.
#[test]
fn many_crashes_in_a_short_time_begin_a_quarantine() {
    let guilty = part("guilty");
    let mut table = PartTable::default();
    let mut now = Instant::now();
    for target in 0..100 {
        table.record_crash(&[guilty], target, now);
        now += Duration::from_millis(3);
    }

    assert!(is_held(&table, &[guilty], now));
}

/// A sound part had crashes by chance. Guards against requests that are held for as long as a quarantine lasts.
#[test]
fn a_trial_ends_the_quarantine_of_a_sound_part() {
    let suspect = part("suspect");
    let mut table = PartTable::default();
    let now = crash(&mut table, &[suspect], 0, 3, Instant::now()) + Duration::from_secs(1);

    let trial = table.admit(&[suspect], now, |_| Duration::ZERO);
    let beside = table.decide(&[suspect], now, |_| Duration::ZERO);
    let released = table.record_sound(&[suspect], now).released;

    assert_eq!(trial, PartDecision::Trial(suspect));
    assert_eq!(beside, PartDecision::Hold(suspect));
    assert_eq!(released, [suspect]);
    assert_eq!(table.decide(&[suspect], now, |_| Duration::MAX), PartDecision::Admit);
}

/// Three requests may reach targets after the fifth crash, of all hosts together. Guards against a trial every so often.
#[test]
fn a_guilty_part_is_tried_twice_at_most() {
    let guilty = part("guilty");
    let mut table = PartTable::default();
    let mut now = crash(&mut table, &[guilty], 0, 3, Instant::now());
    let mut trials = 0;
    for target in 10..1_000 {
        if table.admit(&[guilty], now, |_| Duration::ZERO) == PartDecision::Trial(guilty) {
            trials += 1;
            table.record_crash(&[guilty], target, now);
        }
        now += Duration::from_secs(1);
    }

    assert_eq!(trials, 2);
    assert!(is_held(&table, &[guilty], now));
}

/// Reports are lost, repeated and up to a second late. Guards against hosts that differ for good, or that count a crash
/// twice.
#[test]
fn hosts_agree_after_reports_in_any_order() {
    let guilty = part("guilty");
    let (mut one, mut other) = (PartTable::default(), PartTable::default());
    let start = Instant::now();
    let early = {
        crash(&mut one, &[guilty], 0, 1, start);
        one.reports(start)
    };
    for report in &early {
        other.merge(report, start + Duration::from_secs(1));
    }
    let now = crash(&mut one, &[guilty], 1, 2, start + Duration::from_secs(1));

    let late = one.reports(now);
    for report in late.iter().chain(&late) {
        other.merge(report, now);
    }

    assert!(is_held(&one, &[guilty], now));
    assert!(is_held(&other, &[guilty], now));
    assert_eq!(other.reports(now)[0].crashes.len(), 3);
}

/// A host that has just started suspects a part to which another one has seen sound responses since. Guards against a
/// quarantine that spreads from the one that knows least.
#[test]
fn a_host_that_saw_a_sound_response_refutes_a_quarantine() {
    let suspect = part("suspect");
    let (mut started, mut knowing) = (PartTable::default(), PartTable::default());
    let now = crash(&mut started, &[suspect], 0, 3, Instant::now());
    knowing.record_sound(&[suspect], now);

    let is_refuted = started.reports(now).iter().any(|report| knowing.merge(report, now));
    for report in knowing.reports(now) {
        started.merge(&report, now);
    }

    assert!(is_refuted);
    assert!(!is_held(&knowing, &[suspect], now));
    assert!(!is_held(&started, &[suspect], now));
}

/// Guards against memory that grows with the number of parts that callers name.
#[test]
fn the_table_is_bounded() {
    let mut table = PartTable::default();
    let now = crash(&mut table, &[part("guilty")], 0, 3, Instant::now());
    for index in 0..MAX_SOUND_PARTS + MAX_RECORDS {
        let named = part(&index.to_string());
        table.record_crash(&[named], 0, now);
        table.record_sound(
            &[part(&format!("sound-{index}"))],
            now + Duration::from_millis(index as u64),
        );
    }

    assert!(table.counts().suspected <= MAX_RECORDS);
    assert!(table.sound.len() <= MAX_SOUND_PARTS);
    assert!(is_held(&table, &[part("guilty")], now));
}

/// All targets end while one runs a trial. Guards against a sound part that is held for longer because of that.
#[test]
fn a_trial_that_was_withdrawn_is_repeated() {
    let mut table = PartTable::default();
    let (start, parts) = (Instant::now(), [part("shared")]);
    crash(&mut table, &parts, 0, 3, start);
    let now = start + Duration::from_secs(5);

    let first = table.admit(&parts, now, |_| Duration::ZERO);
    let is_trying = table.is_trying(&parts);
    table.withdraw_trials(&parts, now);
    let second = table.admit(&parts, now, |_| Duration::ZERO);

    assert_eq!((first, second), (PartDecision::Trial(parts[0]), PartDecision::Trial(parts[0])));
    assert!(is_trying);
}

/// Guards against several hosts that begin the same trial at once, and against a trial that waits for a host which gets
/// no request with the part.
#[test]
fn hosts_begin_a_trial_one_after_another() {
    let mut table = PartTable::default();
    let (start, parts) = (Instant::now(), [part("shared")]);
    crash(&mut table, &parts, 0, 3, start);
    let due_at = start + Duration::from_secs(3);
    let delay = Duration::from_millis(250);

    let decisions = [due_at, due_at + delay].map(|now| table.decide(&parts, now, |_| delay));

    assert_eq!(decisions, [PartDecision::Hold(parts[0]), PartDecision::Trial(parts[0])]);
}

/// Targets go on crashing until both trials have failed. Guards against items that are held back for an hour then, and
/// against all of them being sent at once.
#[test]
fn an_item_with_a_quarantined_part_is_sent_at_intervals_whatever_the_trials() {
    let own = part("own");
    let mut table = PartTable::default();
    let began_at = crash(&mut table, &[own], 0, 3, Instant::now());
    let mut now = began_at;
    for target in 3..5 {
        now += Duration::from_secs(31);
        assert!(matches!(table.admit(&[own], now, |_| Duration::ZERO), PartDecision::Trial(_)));
        table.record_crash(&[own], target, now);
    }

    let mut sent = vec![];
    for second in 0..20 {
        let at = now + Duration::from_secs(second);
        if !matches!(table.admit_item(&[own], at), PartDecision::Hold(_)) {
            sent.push(second);
        }
    }

    assert!(is_held(&table, &[own], now + Duration::from_secs(60)), "both trials have failed");
    assert_eq!(sent, [0, 4, 8, 12, 16]);
}
