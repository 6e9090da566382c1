use std::time::Duration;

use cuminramp_core::SeededRandom;

use crate::slots::{SearchLimits, SearchStep, SlotGroup, SlotOutcome, SlotSearch};

fn group(zone: &str) -> SlotGroup {
    SlotGroup { pool: "p".into(), zone: zone.into() }
}

fn limits(is_retry: bool) -> SearchLimits {
    SearchLimits { max_wait: Duration::from_millis(180), is_retry }
}

/// Responds to slot requests until the search queues, refuses or fails. `waits` are the waits by zone; groups
/// of other zones have no target. Returns the zones that were asked, and the last step.
fn run(
    search: &mut SlotSearch,
    limits: SearchLimits,
    waits: &[(&str, u32)],
) -> (Vec<String>, SearchStep) {
    let mut random = SeededRandom::new(3);
    let mut asked = Vec::new();
    loop {
        match search.next(limits, &mut random) {
            SearchStep::Request { group, may_queue: false } => {
                let wait = waits.iter().find(|(zone, _)| *zone == &*group.zone);
                asked.push(group.zone.to_string());
                search.receive(match wait {
                    Some((_, wait_ms)) => SlotOutcome::Busy { wait_ms: *wait_ms },
                    None => SlotOutcome::NoTarget,
                });
            }
            step => return (asked, step),
        }
    }
}

fn search(zones: &[&str]) -> SlotSearch {
    let groups = zones.iter().map(|zone| group(zone)).collect();
    SlotSearch::new(groups, "z1", &mut SeededRandom::new(1))
}

/// Guards against callers that queue in their own zone during a burst beyond its capacity, while targets of
/// another zone are empty.
#[test]
fn the_callers_zone_is_asked_first_and_then_the_others() {
    let mut search = search(&["z2", "z1", "z3"]);

    let (asked, step) = run(&mut search, limits(false), &[("z1", 300), ("z2", 90), ("z3", 200)]);

    assert_eq!(asked[0], "z1");
    assert_eq!(asked.len(), 3);
    assert_eq!(step, SearchStep::Request { group: group("z2"), may_queue: true });
}

/// Guards against callers that wait in vain when more of them arrive than all slots can serve in time. A
/// request that would be late is refused at once with a retry delay; its retry is served.
#[test]
fn a_request_that_would_be_late_is_refused_at_once_but_only_once() {
    let waits = [("z1", 300), ("z2", 270)];

    let (_, refused) = run(&mut search(&["z1", "z2"]), limits(false), &waits);
    let (_, retried) = run(&mut search(&["z1", "z2"]), limits(true), &waits);

    let SearchStep::Refuse(retry_after) = refused else { panic!("{refused:?}") };
    assert!(retry_after >= Duration::from_millis(250), "{retry_after:?}");
    assert_eq!(retried, SearchStep::Request { group: group("z2"), may_queue: true });
}

/// Guards against requests that are late merely because they ask all of a pool's many zones one after the
/// other.
#[test]
fn no_more_than_five_groups_are_asked() {
    let zones: Vec<String> = (1..=23).map(|index| format!("z{index}")).collect();
    let names: Vec<&str> = zones.iter().map(String::as_str).collect();
    let waits: Vec<(&str, u32)> = names.iter().map(|zone| (*zone, 500)).collect();

    let (asked, _) = run(&mut search(&names), limits(false), &waits);

    assert_eq!(asked.len(), 5);
    assert_eq!(asked[0], "z1");
}

#[test]
fn a_search_without_targets_ends_with_no_target() {
    let (_, step) = run(&mut search(&["z1"]), limits(false), &[]);

    assert_eq!(step, SearchStep::NoTarget);
}

/// Guards against a request that uses up its attempts in a zone whose targets were all lost at once.
#[test]
fn a_zone_in_which_two_sends_failed_is_asked_last() {
    let waits = [("z1", 300), ("z2", 300), ("z3", 300)];
    let once = search(&["z1", "z2", "z3"]).after_failures(&["z1".into()]);
    let twice = search(&["z1", "z2", "z3"]).after_failures(&["z1".into(), "z1".into()]);

    let (asked_after_one, _) = run(&mut { once }, limits(false), &waits);
    let (asked_after_two, _) = run(&mut { twice }, limits(false), &waits);

    assert_eq!(asked_after_one[0], "z1");
    assert_eq!(asked_after_two[2], "z1");
}
