use proptest::prelude::*;

use super::FairQueue;

// One team sends many times as much as the others. In a first-come, first-served queue, the others would
// wait behind all of its items.
#[test]
fn a_burst_of_one_team_delays_the_others_by_one_turn() {
    let mut queue = FairQueue::new();
    for _ in 0..1_000 {
        queue.push(&"busy".into(), 1, 1, "busy");
    }
    for _ in 0..10 {
        queue.push(&"calm".into(), 1, 1, "calm");
    }

    let served: Vec<&str> = std::iter::from_fn(|| queue.pop()).take(21).collect();

    assert_eq!(served.iter().filter(|team| **team == "calm").count(), 10);
}

#[test]
fn teams_are_served_by_weight() {
    let mut queue = FairQueue::new();
    for _ in 0..100 {
        queue.push(&"three".into(), 3, 1, 3);
        queue.push(&"one".into(), 1, 1, 1);
    }

    let served: Vec<i32> = std::iter::from_fn(|| queue.pop()).take(80).collect();

    assert_eq!(served.iter().filter(|weight| **weight == 3).count(), 60);
}

proptest! {
    #[test]
    fn nothing_is_lost_or_repeated(
        items in proptest::collection::vec((0..5u8, 1..4u32, 1..6u64), 0..200)
    ) {
        let mut queue = FairQueue::new();
        for (index, (team, weight, cost)) in items.iter().enumerate() {
            queue.push(&format!("team-{team}").into(), *weight, *cost, index);
        }

        let mut served: Vec<usize> = std::iter::from_fn(|| queue.pop()).collect();
        served.sort_unstable();

        prop_assert_eq!(served, (0..items.len()).collect::<Vec<_>>());
        prop_assert!(queue.is_empty());
    }
}
