use cuminramp_core::{RandomSource, SeededRandom};
use tokio::time::Instant;

use super::{CAPACITY, first_attempt, grant, late_retry, submit};
use crate::admission::{AdmissionQueue, AdmissionRequest, QueueDecision, RejectionReason};

/// Guards against slots that go to less urgent requests. Team 1 has used five slots.
#[test]
fn slots_go_by_priority_lateness_share_attempt_and_due_time() {
    let mut queue = AdmissionQueue::default();
    let now = Instant::now();
    (0..5).for_each(|_| queue.record_grant(1, 1_000, now));
    let due_in = |max_wait_ms, request| AdmissionRequest { max_wait_ms, ..request };
    let requests = [
        AdmissionRequest { priority: 1, ..first_attempt(7, 2) },
        late_retry(6, 2),
        due_in(170, first_attempt(5, 1)),
        due_in(160, first_attempt(4, 1)),
        AdmissionRequest { is_retry: true, ..first_attempt(3, 1) },
        due_in(180, first_attempt(2, 2)),
        due_in(150, first_attempt(1, 2)),
    ];
    requests.iter().for_each(|request| {
        submit(&mut queue, request, now);
    });

    let order: Vec<u64> = std::iter::from_fn(|| grant(&mut queue, now)).collect();

    assert_eq!(order, [1, 2, 3, 4, 5, 6, 7]);
}

/// Guards against an expected wait that contradicts the order of the grants: 200 requests of 12 teams with
/// different weights and usages wait, and each expects the slots before its own.
#[test]
fn the_expected_wait_matches_the_order_of_grants() {
    let mut queue = AdmissionQueue::default();
    let mut random = SeededRandom::new(5);
    let now = Instant::now();
    let weight_of = |team: u32| 700 + 331 * team;
    for _ in 0..60 {
        let team = random.below(12) as u32;
        queue.record_grant(team, weight_of(team), now);
    }
    let requests: Vec<AdmissionRequest> = (0..200)
        .map(|id| {
            let team = random.below(12) as u32;
            let deadline_ms = 4_000 + random.below(900) as u32;
            AdmissionRequest { weight_milli: weight_of(team), deadline_ms, ..late_retry(id, team) }
        })
        .collect();
    requests.iter().for_each(|request| {
        submit(&mut queue, request, now);
    });

    let slots_until = |decision| match decision {
        QueueDecision::Waiting { wait } => (wait.as_secs_f64() * CAPACITY.freed_per_s).round(),
        rejected => panic!("a request was not queued: {rejected:?}"),
    };
    let expected: Vec<f64> =
        requests.iter().map(|request| slots_until(submit(&mut queue, request, now))).collect();
    let granted: Vec<u64> = std::iter::from_fn(|| grant(&mut queue, now)).collect();

    assert_eq!(granted.len(), 200);
    for (position, id) in granted.into_iter().enumerate() {
        assert_eq!(expected[id as usize], position as f64 + 1.0);
    }
}

/// Guards against reasons that blame the wrong team: team 1 has used most slots.
#[test]
fn rejections_tell_teams_above_their_share_from_others() {
    let mut queue = AdmissionQueue::default();
    let now = Instant::now();
    (0..64).for_each(|id| queue.record_grant(1 + id / 60, 1_000, now));
    let reasons = (0..80).map(|id| submit(&mut queue, &first_attempt(id, 1 + id as u32 / 40), now));
    let mut reasons = reasons.map(|decision| match decision {
        QueueDecision::Waiting { .. } => None,
        QueueDecision::Rejected { reason, .. } => Some(reason),
    });

    let first = reasons.nth(39).unwrap();
    let second = reasons.last().unwrap();

    assert_eq!(first, Some(RejectionReason::ShareUsed));
    assert_eq!(second, Some(RejectionReason::NoRoom));
}

/// Guards against a slot that stays free since the first request avoids its target, and against a search of
/// the whole queue if no slot is free.
#[test]
fn a_slot_that_the_first_request_avoids_goes_to_the_next() {
    let mut queue = AdmissionQueue::default();
    let now = Instant::now();
    let avoiding = |id| AdmissionRequest { avoided: vec![9], ..first_attempt(id, 1) };
    for request in [avoiding(1), avoiding(2), first_attempt(3, 1), first_attempt(4, 1)] {
        submit(&mut queue, &request, now);
    }
    let mut asked = Vec::new();
    let mut offer = |free: Option<u32>| {
        let granted = queue.grant_next(
            &mut |waiting| {
                asked.push(waiting.request.request_id);
                free.filter(|target| !waiting.request.avoided.contains(target))
            },
            now,
        );
        granted.map(|(granted, target)| (granted.request.request_id, target))
    };

    let none = offer(None);
    let granted = offer(Some(9));

    assert_eq!(none, None);
    assert_eq!(granted, Some((3, 9)));
    assert_eq!(asked, [1, 3, 1, 3]);
}
