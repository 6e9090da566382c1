use test_case::test_case;
use tokio::time::Instant;

use super::group::{FLOODERS, GroupLoad, GroupRun, STEP, SlotOrder};
use super::{first_attempt, grant, late_retry, millis, submit};
use crate::admission::{AdmissionQueue, AdmissionRequest};

/// Guards against teams that lose their slots to a flood of others: the three largest teams send five times
/// their usual load. In order of arrival, all teams are late. At 360 hosts, the group is that of one of five
/// zones.
#[test_case(4, 64, 38.8, 9, 8)]
#[test_case(4, 64, 38.8, 77, 8)]
#[test_case(34, 568, 330.0, 77, 1)]
#[test_case(89, 480, 225.0, 87, 1)]
#[test_case(360, 1_200, 700.0, 77, 1)]
fn a_flood_of_three_teams_leaves_the_others_in_time(
    hosts: usize,
    slots: u32,
    rate: f64,
    teams: usize,
    periods: u32,
) {
    let usual = GroupLoad { hosts, slots, rate, teams, flood: 1.0, periods, seed: 1 };
    let flood = GroupLoad { flood: 5.0, ..usual };
    let ceiling = usual.capacity().freed_per_s;
    let others = |run: &GroupRun| run.callers_in_time(|team| team >= FLOODERS);

    let without = others(&GroupRun::new(usual, SlotOrder::fair()));
    let fair = others(&GroupRun::new(flood, SlotOrder::fair()));
    let arrival = others(&GroupRun::new(flood, SlotOrder::arrival()));

    let figures = format!(
        "in time: {without:.3} without the flood, {fair:.3} with it, {arrival:.3} in order of arrival; \
         ceiling {ceiling:.0}/s, usual mean {rate}/s"
    );
    println!("{figures}");
    assert!(without - fair <= 0.02, "{figures}");
    assert!(without - arrival > 0.1, "the load doesn't show the failure: {figures}");
}

/// Guards against slots that stay free while requests wait, requests that wait past their deadline and a
/// queue without bound, in a group of 64 slots with 3.6 times its load from three of nine teams.
#[test]
fn an_overloaded_queue_is_work_conserving_and_bounded() {
    let load =
        GroupLoad { hosts: 4, slots: 64, rate: 38.8, teams: 9, flood: 5.0, periods: 2, seed: 1 };

    let run = GroupRun::new(load, SlotOrder::fair());

    assert_eq!(run.idle_slots, 0);
    assert!((200..=256).contains(&run.max_waiting), "{} requests waited", run.max_waiting);
    let is_overdue = |ended_at: Instant, deadline: Instant| ended_at > deadline + STEP;
    let overdue =
        run.attempts.iter().filter(|it| it.ended_at.is_none_or(|at| is_overdue(at, it.deadline)));
    assert_eq!(overdue.count(), 0);
}

/// Guards against a team within its share whose late requests wait until the end of a flood: another team
/// sends three times what the group can serve, all of which could still be in time.
#[test]
fn a_team_within_its_share_is_not_starved_by_requests_in_time() {
    let mut queue = AdmissionQueue::default();
    let start = Instant::now();
    let mut longest = millis(0);

    // A slot becomes free every 11 ms.
    for round in 0..400 {
        let now = start + millis(11) * round;
        for flooding in 0..3 {
            submit(&mut queue, &first_attempt(u64::from(round) * 4 + flooding, 1), now);
        }
        let since = round % 100;
        let late = late_retry(u64::from(round - since) * 4 + 3, 2);
        let late_is_waiting = since == 0 || queue.status(now).teams == 2;
        if late_is_waiting {
            submit(&mut queue, &late, now);
            longest = longest.max(millis(11) * since);
        }
        grant(&mut queue, now);
        queue.expire(now);
    }

    assert!(longest <= millis(400), "a late request waited for {longest:?}");
}

/// Guards against weights that have no effect: two teams with weights of 1 and 3 always have requests
/// waiting.
#[test]
fn busy_teams_share_slots_by_weight() {
    let mut queue = AdmissionQueue::default();
    let start = Instant::now();
    let mut granted = [0, 0];

    for round in 0..600 {
        let now = start + millis(11) * round;
        for (team, weight_milli) in [(0, 1_000), (1, 3_000)] {
            let id = u64::from(round) * 2 + u64::from(team);
            submit(&mut queue, &AdmissionRequest { weight_milli, ..first_attempt(id, team) }, now);
        }
        let team = queue.grant_next(&mut |_| Some(1), now).map(|(granted, _)| granted.request.team);
        granted[team.unwrap() as usize] += 1;
        queue.expire(now);
    }

    assert!((145..=160).contains(&granted[0]), "the teams got {granted:?} slots");
}
