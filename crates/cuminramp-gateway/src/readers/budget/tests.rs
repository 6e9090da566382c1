use std::sync::Arc;
use std::time::Duration;

use proptest::prelude::*;
use tokio::time::{Instant, advance};
use tokio_util::sync::CancellationToken;

use super::{EndReason, EndedReader, ReaderBudget, ReaderTag};

const MAX_BYTES: u64 = 100;
const GIVE_UP_AFTER: Duration = Duration::from_secs(2);

fn tag(id: u64) -> Arc<ReaderTag> {
    let give_up_after = Some(GIVE_UP_AFTER);
    ReaderTag {
        request_id: format!("r-{id}").into(),
        team: "a".into(),
        give_up_after,
        fixed_bytes: 0,
    }
    .into()
}

fn block(budget: &mut ReaderBudget, id: u64, bytes: u64, has_read: bool) -> Vec<EndedReader> {
    let end = CancellationToken::new();
    budget.record_blocked(id, &tag(id), &end, bytes, has_read, Instant::now())
}

fn ids(ended: &[EndedReader]) -> Vec<&str> {
    ended.iter().map(|ended| &*ended.tag.request_id).collect()
}

/// Guards against ending a response whose caller read lately while another has not been read for longer.
#[tokio::test(start_paused = true)]
async fn the_longest_unread_response_ends_first() {
    let mut budget = ReaderBudget::new(MAX_BYTES);
    block(&mut budget, 1, 40, false);
    advance(Duration::from_millis(10)).await;
    block(&mut budget, 2, 40, false);
    advance(Duration::from_millis(10)).await;
    block(&mut budget, 1, 30, true);

    let ended = block(&mut budget, 3, 40, false);

    assert_eq!(ids(&ended), ["r-2"]);
    assert_eq!(ended[0].reason, EndReason::Bound);
    assert_eq!((ended[0].held_bytes, ended[0].unread), (40, Duration::from_millis(10)));
    assert_eq!(budget.take_peak(), 80);
}

/// Guards against one large response that ends all others, although these fit without it.
#[tokio::test(start_paused = true)]
async fn a_response_above_the_bound_ends_alone() {
    let mut budget = ReaderBudget::new(MAX_BYTES);
    block(&mut budget, 1, 40, false);

    let ended = block(&mut budget, 2, MAX_BYTES + 1, false);

    assert_eq!(ids(&ended), ["r-2"]);
    assert_eq!(budget.take_peak(), 40);
}

/// Guards against ending a response at the very time that its caller still waits, and against a wait that
/// starts anew with each event that is queued without a read.
#[tokio::test(start_paused = true)]
async fn a_response_ends_after_its_caller_gave_up() {
    let mut budget = ReaderBudget::new(MAX_BYTES);
    block(&mut budget, 1, 10, false);
    advance(GIVE_UP_AFTER).await;
    block(&mut budget, 1, 20, false);
    assert!(budget.expire(Instant::now()).is_empty());
    advance(Duration::from_millis(1)).await;

    let ended = budget.expire(Instant::now());

    assert_eq!(ids(&ended), ["r-1"]);
    assert_eq!((ended[0].reason, ended[0].held_bytes), (EndReason::Unread, 20));
    budget.take_peak();
    assert_eq!(budget.take_peak(), 0);
}

/// Guards against ending the response of a caller that reads slowly but steadily.
#[tokio::test(start_paused = true)]
async fn a_read_starts_the_wait_anew() {
    let mut budget = ReaderBudget::new(MAX_BYTES);
    for _ in 0..5 {
        block(&mut budget, 1, 10, true);
        advance(GIVE_UP_AFTER).await;

        assert!(budget.expire(Instant::now()).is_empty());
    }
}

/// Guards against ending a connection that was read to its end and waits for its next request.
#[tokio::test(start_paused = true)]
async fn a_response_that_was_read_does_not_end() {
    let mut budget = ReaderBudget::new(MAX_BYTES);
    block(&mut budget, 1, 90, false);
    budget.record_unblocked(1);
    advance(GIVE_UP_AFTER * 2).await;

    let ended = block(&mut budget, 2, 90, false);

    assert!(ended.is_empty());
    assert!(budget.expire(Instant::now()).is_empty());
}

/// Guards against a response that is counted again after it was told to end, until its connection closes.
#[tokio::test(start_paused = true)]
async fn an_ended_response_is_not_counted_again() {
    let mut budget = ReaderBudget::new(MAX_BYTES);
    let end = CancellationToken::new();
    end.cancel();

    let ended = budget.record_blocked(1, &tag(1), &end, 50, false, Instant::now());

    assert!(ended.is_empty());
    assert_eq!(budget.take_peak(), 0);
}

proptest! {
    /// Guards against a sum that drifts from its parts, or that exceeds the bound, after any order of steps.
    #[test]
    fn the_sum_stays_within_the_bound(
        steps in prop::collection::vec((0u64..8, 0u64..130, any::<bool>(), 0u64..3_000), 1..200),
    ) {
        let mut budget = ReaderBudget::new(MAX_BYTES);
        let mut now = Instant::now();
        for (id, bytes, has_read, passed_ms) in steps {
            now += Duration::from_millis(passed_ms);
            if bytes == 0 {
                budget.record_unblocked(id);
            } else {
                let end = CancellationToken::new();
                budget.record_blocked(id, &tag(id), &end, bytes, has_read, now);
            }
            budget.expire(now);
            let sum: u64 = budget.blocked.values().map(|reader| reader.held_bytes).sum();

            prop_assert_eq!(sum, budget.held_bytes);
            prop_assert!(budget.take_peak() <= MAX_BYTES);
        }
    }
}
