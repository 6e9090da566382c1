use std::time::Duration;

use cuminramp_core::{HostId, Name};
use tokio::time::{Instant, advance};

use super::{QuotaBook, QuotaDecision};
use crate::declarations::{CallerLimits, FleetDeclarations, TeamRule};

const RATE: f64 = 10.0;
const BURST: f64 = 20.0;

fn declarations() -> FleetDeclarations {
    let team = TeamRule { name: "parish".into(), keys: vec![], rate: RATE, burst: BURST };
    FleetDeclarations::new(1, CallerLimits::default(), vec![], vec![], vec![team])
}

fn team() -> Name {
    "parish".into()
}

fn book() -> QuotaBook {
    let mut book = QuotaBook::default();
    book.set_limits(&declarations(), Instant::now());
    book
}

fn id(address: &str) -> HostId {
    HostId { address: address.into(), incarnation: 1 }
}

fn admitted_at_once(book: &mut QuotaBook) -> u32 {
    let mut count = 0;
    while book.admit(&team(), Instant::now()) == QuotaDecision::Admitted {
        count += 1;
    }
    count
}

/// A process is killed and starts again. With a full bucket the team could spend its burst once
/// more with each restart.
#[tokio::test(start_paused = true)]
async fn a_new_process_starts_with_an_empty_bucket() {
    let mut book = book();

    assert_eq!(admitted_at_once(&mut book), 0);
    advance(Duration::from_secs(1)).await;
    assert_eq!(admitted_at_once(&mut book), 10);
}

#[tokio::test(start_paused = true)]
async fn what_others_admit_is_taken_out_here() {
    let mut first = book();
    let mut second = book();
    advance(Duration::from_secs(10)).await;
    second.hear(&id("first"), &first.usage(true, Instant::now()), true, Instant::now());

    let spent = admitted_at_once(&mut first);
    second.hear(&id("first"), &first.usage(false, Instant::now()), false, Instant::now());

    assert_eq!(spent, 20);
    assert_eq!(admitted_at_once(&mut second), 0);
}

/// Two of four hosts lose sight of the other two, and the team's callers reach both parts. If both
/// went on with the whole rate, the team would get twice what it pays for.
#[tokio::test(start_paused = true)]
async fn the_parts_of_a_divided_fleet_stay_within_the_rate_together() {
    let mut parts = [book(), book()];
    advance(Duration::from_secs(10)).await;
    for part in &mut parts {
        part.set_share(2, 4, Instant::now());
    }

    let mut total = 0;
    for _ in 0..50 {
        total += parts.iter_mut().map(admitted_at_once).sum::<u32>();
        advance(Duration::from_millis(100)).await;
    }

    assert!(f64::from(total) <= BURST + RATE * 5.0, "{total}");
    assert!(f64::from(total) >= RATE * 4.0, "{total}");
}

/// A team sends many times its rate through all hosts at once, and each learns of the others'
/// admissions only with the next beat. The callers of other teams would feel the excess.
#[tokio::test(start_paused = true)]
async fn a_flood_through_all_hosts_exceeds_the_rate_by_less_than_a_beat_brings() {
    const HOSTS: usize = 11;
    let mut books: Vec<QuotaBook> = (0..HOSTS).map(|_| book()).collect();
    for (index, one) in books.iter_mut().enumerate() {
        for other in 0..HOSTS {
            if other != index {
                one.hear(&id(&other.to_string()), &[], true, Instant::now());
            }
        }
    }
    advance(Duration::from_secs(10)).await;

    let mut total = 0;
    for step in 0..500 {
        let at = step % HOSTS;
        let now = Instant::now();
        total += u32::from(books[at].admit(&team(), now) == QuotaDecision::Admitted);
        let usage = books[at].usage(false, now);
        for (index, other) in books.iter_mut().enumerate() {
            if index != at {
                other.hear(&id(&at.to_string()), &usage, false, now);
            }
        }
        advance(Duration::from_millis(10)).await;
    }

    assert!(f64::from(total) <= BURST + RATE * 5.0 + 1.0, "{total}");
}

#[tokio::test(start_paused = true)]
async fn a_refusal_says_when_the_next_token_comes() {
    let mut book = book();
    advance(Duration::from_millis(50)).await;

    let decision = book.admit(&team(), Instant::now());

    assert_eq!(decision, QuotaDecision::Exceeded(Duration::from_millis(50)));
}
