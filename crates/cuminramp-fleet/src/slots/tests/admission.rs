//! Tests of the owner's admission queue together with its ledger of slots.

use std::time::Duration;

use cuminramp_core::HostId;
use tokio::time::{Instant, advance};

use super::{Owner, group, host, load, report, settle, waiting};
use crate::admission::{AdmissionRequest, AdmissionWithdrawal, RejectionReason};
use crate::heartbeat::name_hash;
use crate::placement::{ColdShare, WorkKind};
use crate::slots::{GroupShare, SlotOutcome, SlotReport, SlotResponse};

/// Interval at which hosts repeat waiting requests.
const REPEAT_INTERVAL: Duration = Duration::from_millis(100);

fn admission(request_id: u64) -> AdmissionRequest {
    AdmissionRequest {
        incarnation: 1,
        request_id,
        group: group().hash(),
        avoided: vec![],
        team: name_hash("team-a"),
        weight_milli: 1_000,
        priority: 0,
        is_retry: false,
        max_wait_ms: 10_000,
        deadline_ms: 20_000,
        may_wait: true,
    }
}

impl Owner {
    /// Returns an owner whose only target is filled by requests of the host `busy`.
    fn with_full_target() -> Self {
        let mut owner = Owner::new(&["e1"]);
        owner.receive("busy", report(1, vec![load("e1", 8, 0)]));
        owner
    }

    fn admit(&mut self, from: &str, request: &AdmissionRequest) -> SlotOutcome {
        let (placement, random) = (&mut self.placement, &mut self.random);
        let owned = GroupShare { group: &group(), share: &ColdShare::Owner, software: None };
        let now = Instant::now();
        self.ledger.admit(placement, &host(from), owned, request, random, now).outcome
    }

    fn serve(&mut self) -> Vec<(HostId, SlotResponse)> {
        let (placement, random) = (&mut self.placement, &mut self.random);
        let owned = GroupShare { group: &group(), share: &ColdShare::Owner, software: None };
        self.ledger.serve_waiting(placement, owned, random, Instant::now())
    }

    /// Serves waiting requests, and returns the hosts and numbers of those that got a slot.
    fn serve_requests(&mut self) -> Vec<(String, u64)> {
        let served = self.serve();
        let granted = served.into_iter().filter(|(_, response)| response.outcome.grant().is_some());
        granted.map(|(host, response)| (host.address.to_string(), response.request_id)).collect()
    }

    fn withdraw(&mut self, from: &str, request_id: u64) {
        let withdrawal = AdmissionWithdrawal { incarnation: 1, request_id, group: group().hash() };
        self.ledger.withdraw(&mut self.placement, &host(from), &withdrawal, Instant::now());
    }

    fn expire(&mut self) {
        self.ledger.expire(&mut self.placement, Instant::now());
    }

    fn waiting(&self) -> usize {
        self.ledger.waiting(group().hash())
    }

    /// Receives a report of the host `busy` with this number of requests at the target.
    fn report_busy(&mut self, sequence: u64, online: u16) {
        self.receive("busy", report(sequence, vec![load("e1", online, 0)]));
    }
}

fn is_granted(outcome: SlotOutcome) -> bool {
    outcome.grant().is_some()
}

fn is_waiting(outcome: SlotOutcome) -> bool {
    matches!(outcome, SlotOutcome::Waiting { .. })
}

/// Guards against requests that wait for a second response although slots are free. The first slots are
/// granted with one response each; the request after the last one waits.
#[tokio::test(start_paused = true)]
async fn slots_are_granted_at_once_while_no_request_waits() {
    let mut owner = Owner::new(&["e1"]);

    let outcomes: Vec<SlotOutcome> =
        (0..9).map(|number| owner.admit("a", &admission(number))).collect();

    assert!(outcomes[..8].iter().all(|outcome| is_granted(*outcome)), "{outcomes:?}");
    assert!(is_waiting(outcomes[8]), "{outcomes:?}");
    assert_eq!((owner.placement.occupancy("p"), owner.waiting()), ((8, 8), 1));
}

/// Guards against batch items in the way of callers: a slot from which an item can be preempted is as good as
/// a free one.
#[tokio::test(start_paused = true)]
async fn a_slot_with_a_batch_item_is_granted_at_once() {
    let mut owner = Owner::new(&["e1"]);
    owner.receive("busy", report(1, vec![load("e1", 7, 1)]));

    let outcome = owner.admit("a", &admission(1));

    assert!(is_granted(outcome), "{outcome:?}");
    assert_eq!(owner.limits().len(), 1);
}

/// Guards against a request that enters the queues of several groups: while it searches, it only asks for the
/// wait there.
#[tokio::test(start_paused = true)]
async fn a_request_that_may_not_wait_is_not_queued() {
    let mut owner = Owner::with_full_target();

    let outcome = owner.admit("a", &AdmissionRequest { may_wait: false, ..admission(1) });

    assert!(matches!(outcome, SlotOutcome::Busy { wait_ms } if wait_ms > 0), "{outcome:?}");
    assert_eq!(owner.waiting(), 0);
}

/// Guards against a slot that goes to a request which arrives at the moment it becomes free, past requests
/// that wait for it.
#[tokio::test(start_paused = true)]
async fn a_request_does_not_pass_those_that_wait() {
    let mut owner = Owner::with_full_target();
    owner.admit("a", &admission(1));
    owner.report_busy(2, 7);

    let later = owner.admit("b", &admission(1));
    let without_waiting = owner.admit("c", &AdmissionRequest { may_wait: false, ..admission(1) });

    assert!(is_waiting(later), "{later:?}");
    assert!(matches!(without_waiting, SlotOutcome::Busy { .. }), "{without_waiting:?}");
    assert_eq!(owner.serve_requests(), [("a".to_owned(), 1)]);
}

/// Guards against callers that wait behind batch items: the next slot goes to the waiting request, and items
/// get none while any request waits.
#[tokio::test(start_paused = true)]
async fn a_waiting_request_gets_the_next_slot_before_items() {
    let mut owner = Owner::with_full_target();
    owner.receive("b", SlotReport { demand: waiting(9_000, 4), ..report(1, vec![]) });
    settle().await;
    owner.admit("a", &admission(1));
    owner.report_busy(2, 6);

    let items_while_waiting = owner.grant_items(vec![]);
    let served = owner.serve_requests();
    advance(Duration::from_millis(150)).await;
    let items_afterwards: u16 = owner.grant_items(vec![]).iter().map(|grant| grant.items).sum();

    assert_eq!(items_while_waiting, []);
    assert_eq!(served, [("a".to_owned(), 1)]);
    assert_eq!((owner.online("a", "e1"), items_afterwards), (1, 1));
}

/// Guards against an owner that grants more waiting requests than slots became free, which would put the
/// rest into a target's queue.
#[tokio::test(start_paused = true)]
async fn as_many_waiting_requests_are_served_as_slots_are_free() {
    let mut owner = Owner::with_full_target();
    for number in 0..5 {
        owner.admit("a", &admission(number));
    }
    owner.report_busy(2, 6);

    let served = owner.serve_requests();
    let again = owner.serve_requests();

    assert_eq!((served.len(), again.len(), owner.waiting()), (2, 0, 3));
}

/// Guards against one free slot that is granted to all waiting requests of the owner itself: its grants count
/// until the requests begin, and each counts once.
#[tokio::test(start_paused = true)]
async fn a_slot_goes_to_one_waiting_request_of_the_owner_itself() {
    let mut owner = Owner::with_full_target();
    for number in 0..3 {
        owner.admit("o", &admission(number));
    }
    owner.report_busy(2, 7);

    let served = owner.serve();
    let grant = served[0].1.outcome.grant().unwrap();
    let occupied_before = owner.placement.occupancy("p");
    let (placement, hash) = (&mut owner.placement, group().hash());
    let is_reserved = owner.ledger.take_grant(placement, hash, grant, Instant::now());
    owner.placement.begin("e1", WorkKind::Online);

    assert_eq!((served.len(), owner.waiting(), is_reserved), (1, 2, true));
    assert_eq!((occupied_before, owner.placement.occupancy("p")), ((8, 8), (8, 8)));
}

/// Guards against an owner's own slot that stays reserved for good after the request's task was dropped, and
/// against its use after it may have been granted again.
#[tokio::test(start_paused = true)]
async fn an_unused_grant_of_the_owner_itself_expires() {
    let mut owner = Owner::new(&["e1"]);
    let SlotOutcome::Granted { grant, .. } = owner.admit("o", &admission(1)) else {
        panic!("no slot was granted")
    };

    advance(Duration::from_millis(300)).await;
    owner.expire();

    assert_eq!(owner.placement.occupancy("p"), (0, 8));
    let (placement, hash) = (&mut owner.placement, group().hash());
    assert!(!owner.ledger.take_grant(placement, hash, grant, Instant::now()));
}

/// Guards against a second slot for a request whose grant was lost: the repeat gets the same grant, whether
/// or not the request waited.
#[tokio::test(start_paused = true)]
async fn a_repeated_request_gets_the_same_grant() {
    let mut owner = Owner::new(&["e1"]);
    owner.receive("busy", report(1, vec![load("e1", 7, 0)]));
    let at_once = owner.admit("a", &admission(1));
    owner.admit("a", &admission(2));
    owner.receive("busy", report(2, vec![load("e1", 6, 0)]));
    let served = owner.serve();

    advance(REPEAT_INTERVAL).await;
    let repeats = [owner.admit("a", &admission(1)), owner.admit("a", &admission(2))];

    assert!(is_granted(at_once));
    assert_eq!(repeats, [at_once, served[0].1.outcome]);
    assert_eq!((owner.placement.occupancy("p"), owner.waiting()), ((8, 8), 0));
}

/// Guards against a request that takes several places in the queue by its repeats.
#[tokio::test(start_paused = true)]
async fn a_repeated_request_waits_once() {
    let mut owner = Owner::with_full_target();

    let outcomes = [1, 1, 1].map(|number| owner.admit("a", &admission(number)));

    assert!(outcomes.into_iter().all(is_waiting), "{outcomes:?}");
    assert_eq!(owner.waiting(), 1);
}

/// Guards against a rejection that books a new time to return with each repeat of the request.
#[tokio::test(start_paused = true)]
async fn a_repeated_request_gets_the_same_rejection() {
    let mut owner = Owner::with_full_target();
    let hopeless = AdmissionRequest { max_wait_ms: 0, deadline_ms: 3_000, ..admission(1) };

    let first = owner.admit("a", &hopeless);
    let repeated = owner.admit("a", &hopeless);

    assert!(matches!(first, SlotOutcome::Rejected { .. }), "{first:?}");
    assert_eq!((repeated, owner.waiting()), (first, 0));
}

/// Guards against a caller that waits for its rejection until the next repeat of its request, after the
/// request can no longer start before its deadline.
#[tokio::test(start_paused = true)]
async fn a_request_that_passes_its_deadline_in_the_queue_is_rejected_at_once() {
    let mut owner = Owner::with_full_target();
    owner.admit("a", &AdmissionRequest { deadline_ms: 150, is_retry: true, ..admission(1) });
    owner.admit("b", &admission(1));

    advance(Duration::from_millis(160)).await;
    owner.expire();
    let responses = owner.serve();
    let again = owner.serve();

    let rejected: Vec<&str> = responses
        .iter()
        .filter(|(_, response)| matches!(response.outcome, SlotOutcome::Rejected { .. }))
        .map(|(host, _)| &*host.address)
        .collect();
    assert_eq!((rejected, again.len(), owner.waiting()), (vec!["a"], 0, 1));
}

/// Guards against slots for callers that have left: the place is free at once for the next request.
#[tokio::test(start_paused = true)]
async fn a_withdrawal_frees_the_place() {
    let mut owner = Owner::with_full_target();
    owner.admit("a", &admission(1));
    owner.admit("b", &admission(1));

    owner.withdraw("a", 1);
    owner.report_busy(2, 7);

    assert_eq!(owner.serve_requests(), [("b".to_owned(), 1)]);
}

/// Guards against a rejected request that enters the queue again with a repeat that was sent before its host
/// received the rejection: it would then get a slot that nobody uses.
#[tokio::test(start_paused = true)]
async fn a_repeat_of_a_request_that_a_full_queue_rejected_is_not_queued() {
    let mut owner = Owner::with_full_target();
    let late_retry = |number| AdmissionRequest {
        max_wait_ms: 0,
        deadline_ms: 60_000,
        is_retry: true,
        ..admission(number)
    };
    (0..32).for_each(|number| {
        owner.admit("a", &late_retry(number));
    });
    let urgent = owner.admit("b", &AdmissionRequest { team: name_hash("team-b"), ..admission(1) });

    owner.withdraw("a", 0);
    let repeated = owner.admit("a", &late_retry(31));

    let queue_full = RejectionReason::QueueFull;
    assert!(is_waiting(urgent), "{urgent:?}");
    assert!(
        matches!(repeated, SlotOutcome::Rejected { reason, .. } if reason == queue_full),
        "{repeated:?}"
    );
    assert_eq!(owner.waiting(), 31);
}

/// Guards against memory that grows with each grant to a caller as long as no batch item waits.
#[tokio::test(start_paused = true)]
async fn grants_to_callers_are_not_recorded_for_ever() {
    let mut owner = Owner::new(&["e1"]);

    for number in 0..100 {
        owner.admit("a", &admission(number));
        advance(Duration::from_millis(300)).await;
        owner.expire();
    }

    assert_eq!(owner.ledger.recorded_caller_grants(group().hash()), 1);
}

/// Guards against a slot that stays unused until its reservation expires: the caller of a request of the
/// owner itself leaves after the slot was granted and before the request received the grant.
#[tokio::test(start_paused = true)]
async fn a_withdrawal_of_a_request_of_the_owner_frees_its_granted_slot() {
    let mut owner = Owner::with_full_target();
    owner.admit("o", &admission(1));
    owner.report_busy(2, 7);
    let granted = owner.serve_requests();
    owner.admit("b", &admission(1));

    owner.withdraw("o", 1);

    assert_eq!(granted, [("o".to_owned(), 1)]);
    assert_eq!(owner.serve_requests(), [("b".to_owned(), 1)]);
}

/// Guards against a slot that two requests use: a host that receives its grant with a late repeat would use
/// the slot after its reservation has expired.
#[tokio::test(start_paused = true)]
async fn a_repeated_grant_keeps_its_slot_reserved() {
    let mut owner = Owner::new(&["e1"]);
    owner.receive("busy", report(1, vec![load("e1", 7, 0)]));
    let first = owner.admit("a", &admission(1));
    advance(Duration::from_millis(240)).await;
    owner.report_busy(2, 7);

    let repeated = owner.admit("a", &admission(1));
    advance(Duration::from_millis(20)).await;
    owner.expire();
    let other = owner.admit("b", &admission(1));

    assert!(is_granted(first) && repeated == first, "{repeated:?}");
    assert!(is_waiting(other), "{other:?}");
}

/// Guards against a repeat that overtakes the withdrawal or arrives late: queued again, the request would
/// get a slot that nobody uses.
#[tokio::test(start_paused = true)]
async fn a_late_repeat_of_a_withdrawn_request_is_not_queued() {
    let mut owner = Owner::with_full_target();
    owner.admit("a", &admission(1));
    owner.withdraw("a", 1);
    owner.withdraw("a", 2);

    advance(REPEAT_INTERVAL).await;
    let late = [1, 2].map(|number| owner.admit("a", &admission(number)));
    owner.report_busy(2, 0);

    assert_eq!(late, [SlotOutcome::Busy { wait_ms: 0 }; 2]);
    assert_eq!((owner.waiting(), owner.serve_requests()), (0, vec![]));
}

/// Guards against slots for a host that was killed with requests waiting, while others wait for them.
#[tokio::test(start_paused = true)]
async fn a_host_that_stops_repeating_is_dropped() {
    let mut owner = Owner::with_full_target();
    owner.admit("killed", &admission(1));
    owner.admit("b", &admission(1));

    for sequence in 2..5 {
        advance(REPEAT_INTERVAL).await;
        owner.report_busy(sequence, 8);
        owner.admit("b", &admission(1));
        owner.expire();
    }
    owner.report_busy(5, 6);

    assert_eq!(owner.serve_requests(), [("b".to_owned(), 1)]);
    assert_eq!(owner.waiting(), 0);
}

/// Guards against grants by an outdated queue after a pause of the owner: its requests were served by the
/// next owner in the meantime.
#[tokio::test(start_paused = true)]
async fn a_reset_discards_the_queue() {
    let mut owner = Owner::with_full_target();
    owner.admit("a", &admission(1));

    owner.ledger.reset(&mut owner.placement);
    let waiting_after_reset = owner.waiting();
    owner.report_busy(2, 0);

    assert_eq!((waiting_after_reset, owner.serve_requests()), (0, vec![]));
    assert!(is_granted(owner.admit("a", &admission(1))));
}

/// Guards against a queue that outlives the ownership: its requests wait at the next owner by then.
#[tokio::test(start_paused = true)]
async fn the_queue_is_discarded_when_the_ownership_ends() {
    let mut owner = Owner::with_full_target();
    owner.admit("a", &admission(1));

    advance(Duration::from_millis(700)).await;
    owner.expire();

    assert_eq!((owner.waiting(), owner.ledger.owned()), (0, vec![]));
}

/// Guards against requests that are lost, or served twice, when hosts turn to the next owner: the next owner
/// queues the repeated request, and the first one drops it.
#[tokio::test(start_paused = true)]
async fn a_request_moves_from_one_owner_to_the_next() {
    let mut owners = [Owner::with_full_target(), Owner::with_full_target()];
    owners[0].admit("a", &admission(1));

    for sequence in 2..5 {
        advance(REPEAT_INTERVAL).await;
        for owner in &mut owners {
            owner.report_busy(sequence, 8);
            owner.expire();
        }
        owners[1].admit("a", &admission(1));
    }
    let served = owners.each_mut().map(|owner| {
        owner.report_busy(5, 0);
        owner.serve_requests()
    });

    assert_eq!(served, [vec![], vec![("a".to_owned(), 1)]]);
}

/// Guards against requests that wait in the queue of a group which has lost all its targets: the host looks
/// for a slot elsewhere.
#[tokio::test(start_paused = true)]
async fn a_waiting_request_is_told_that_the_group_has_no_target() {
    let mut owner = Owner::with_full_target();
    owner.admit("a", &admission(1));
    owner.placement.remove("e1");

    let repeated = owner.admit("a", &admission(1));

    assert_eq!((repeated, owner.waiting()), (SlotOutcome::NoTarget, 0));
}

/// Guards against a slot at a target that the request must not be sent to again; it goes to the next request
/// that can use it.
#[tokio::test(start_paused = true)]
async fn a_waiting_request_gets_no_slot_at_a_target_that_it_avoids() {
    let mut owner = Owner::new(&["e1", "e2"]);
    owner.receive("busy", report(1, vec![load("e1", 8, 0), load("e2", 8, 0)]));
    owner.admit("a", &AdmissionRequest { avoided: vec![name_hash("e1")], ..admission(1) });
    owner.admit("b", &admission(1));

    owner.receive("busy", report(2, vec![load("e1", 7, 0), load("e2", 8, 0)]));

    assert_eq!(owner.serve_requests(), [("b".to_owned(), 1)]);
    assert_eq!(owner.waiting(), 1);
}

/// Guards against a panic or a full queue by values that no correct host sends.
#[tokio::test(start_paused = true)]
async fn hostile_values_do_no_harm() {
    let mut owner = Owner::with_full_target();
    let extremes = [0, 1, u32::MAX];

    for (number, value) in (1..).zip(extremes) {
        let hostile = AdmissionRequest {
            incarnation: u64::MAX,
            avoided: vec![value; 1_000],
            team: value,
            weight_milli: value,
            priority: value as u8,
            max_wait_ms: value,
            deadline_ms: value,
            is_retry: true,
            ..admission(number)
        };
        owner.admit("hostile", &hostile);
        owner.admit("hostile", &AdmissionRequest { may_wait: false, ..hostile });
    }
    owner.withdraw("hostile", u64::MAX);
    owner.report_busy(2, 0);
    owner.serve();

    assert!(is_granted(owner.admit("a", &admission(1))));
}

/// Guards against log lines that show another team's figures, or figures that contradict the reason: a team
/// that is rejected for its share has a usage above it, and a grant after waiting counts.
#[tokio::test(start_paused = true)]
async fn decisions_carry_the_usage_and_the_share_of_the_team() {
    let mut owner = Owner::new(&["e1"]);
    owner.report_busy(1, 4);
    let other = AdmissionRequest { team: name_hash("team-b"), ..admission(100) };
    for request in [admission(1), admission(2), admission(3), other] {
        owner.admit("a", &request);
    }
    owner.placement.record_pace("e1", 100, Instant::now());
    let hopeless = AdmissionRequest { max_wait_ms: 0, ..admission(4) };

    let rejected = owner.admit("a", &hopeless);
    owner.admit("a", &admission(5));
    owner.report_busy(2, 3);
    let served = owner.serve();
    let refused = rejected.report().unwrap();
    let granted = served[0].1.outcome.report().unwrap();

    let reason = RejectionReason::ShareUsed;
    assert!(matches!(rejected, SlotOutcome::Rejected { reason: given, .. } if given == reason));
    assert_eq!((refused.usage_centi, refused.share_centi), (300, 200));
    assert_eq!((granted.usage_centi, granted.share_centi), (400, 250));
    assert_eq!((refused.pace_age_ms, granted.pace_age_ms), (Some(0), Some(0)));
}
