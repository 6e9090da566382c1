use std::time::Duration;

use cuminramp_core::{HostId, SeededRandom};
use tokio::time::{Instant, advance};

use super::{
    GrantSequence, GroupShare, ItemGrant, ItemLimit, SlotGroup, SlotLedger, SlotOutcome,
    SlotReport, SlotRequest, SlotResponse,
};
use crate::demand::ItemDemand;
use crate::heartbeat::{TargetLoad, name_hash};
use crate::placement::{
    ColdShare, FleetTarget, PlacementPolicy, PlacementTable, TargetPhase, WorkKind,
};

mod admission;
mod borrowed;
mod cold;
mod orphans;
mod owners;
mod search;

fn host(address: &str) -> HostId {
    HostId { address: address.into(), incarnation: 1 }
}

fn group() -> SlotGroup {
    SlotGroup { pool: "p".into(), zone: "z1".into() }
}

fn target(id: &str) -> FleetTarget {
    FleetTarget {
        id: id.into(),
        pool: "p".into(),
        address: "127.0.0.1:1".into(),
        zone: "z1".into(),
        slots: 8,
        phase: TargetPhase::Serving,
        started_at_ms: 1,
        version: "v1".into(),
        cold_remaining: Duration::ZERO,
    }
}

fn load(id: &str, online: u16, batch: u16) -> TargetLoad {
    TargetLoad { target: name_hash(id), online, batch }
}

fn report(sequence: u64, loads: Vec<TargetLoad>) -> SlotReport {
    SlotReport {
        incarnation: 1,
        sequence,
        group: group().hash(),
        acknowledged_grant: 0,
        loads,
        reported_loads: vec![],
        outcomes: vec![],
        avoided: vec![],
        demand: vec![],
    }
}

fn waiting(due_in_ms: i32, items: u32) -> Vec<ItemDemand> {
    vec![ItemDemand { is_late: false, due_in_ms, items }]
}

/// The owner `o` of the group, with its placement table and ledger.
struct Owner {
    placement: PlacementTable,
    ledger: SlotLedger,
    random: SeededRandom,
    requests: u64,
}

impl Owner {
    fn new(targets: &[&str]) -> Self {
        let mut placement = PlacementTable::new("z1".into(), PlacementPolicy::default());
        targets.iter().for_each(|id| placement.put(target(id)));
        Owner {
            placement,
            ledger: SlotLedger::new(host("o")),
            random: SeededRandom::new(1),
            requests: 0,
        }
    }

    fn receive(&mut self, from: &str, report: SlotReport) -> bool {
        self.ledger.receive_report(&mut self.placement, &host(from), report, Instant::now())
    }

    fn respond(&mut self, from: &str, slot_request: &SlotRequest) -> SlotResponse {
        let (placement, random) = (&mut self.placement, &mut self.random);
        let now = Instant::now();
        let owned = GroupShare { group: &group(), share: &ColdShare::Owner, software: None };
        self.ledger.respond(placement, &host(from), owned, slot_request, random, now)
    }

    fn request_slot(&mut self, from: &str, may_queue: bool) -> SlotOutcome {
        self.requests += 1;
        let slot_request = make_request(self.requests, may_queue);
        self.respond(from, &slot_request).outcome
    }

    /// Requests a slot and returns the target and number of the grant.
    fn grant(&mut self, from: &str) -> (u32, u64) {
        match self.request_slot(from, false) {
            SlotOutcome::Granted { target, grant } => (target, grant),
            other => panic!("no slot was granted: {other:?}"),
        }
    }

    fn limits(&mut self) -> Vec<ItemLimit> {
        self.ledger.item_limits(&self.placement, &group(), Instant::now())
    }

    fn grant_items(&mut self, own: Vec<ItemDemand>) -> Vec<ItemGrant> {
        let now = Instant::now();
        self.ledger.grant_items(&mut self.placement, &group(), own, &ColdShare::Owner, now)
    }

    /// Returns the online requests that the ledger counts for a host at a target.
    fn online(&self, from: &str, id: &str) -> u32 {
        self.ledger.in_flight(&host(from), group().hash(), name_hash(id), WorkKind::Online)
    }
}

fn make_request(request_id: u64, may_queue: bool) -> SlotRequest {
    SlotRequest { incarnation: 1, request_id, group: group().hash(), avoided: vec![], may_queue }
}

/// Waits until a new owner may grant slots to items.
async fn settle() {
    advance(Duration::from_millis(200)).await;
}

/// Guards against hosts that choose targets by outdated loads during a burst of callers: all of them would
/// crowd the same empty targets. The owner grants every slot exactly once.
#[tokio::test(start_paused = true)]
async fn concurrent_requests_are_granted_every_slot_once() {
    let mut owner = Owner::new(&["e1", "e2", "e3"]);

    let mut granted: Vec<u32> = (0..24).map(|index| owner.grant(&format!("h{index}")).0).collect();
    let beyond = owner.request_slot("late", false);

    granted.sort_unstable();
    granted.dedup_by(|left, right| left == right);
    assert_eq!(granted.len(), 3);
    assert_eq!(
        ["e1", "e2", "e3"].map(|id| owner.placement.get(id).map(|target| target.slots)),
        [Some(8); 3]
    );
    assert!(matches!(beyond, SlotOutcome::Busy { .. }), "{beyond:?}");
    assert_eq!(owner.placement.occupancy("p"), (24, 24));
}

/// Guards against a second grant for a request that is repeated because its response was lost. The second
/// slot would stay unused while callers are refused.
#[tokio::test(start_paused = true)]
async fn a_repeated_request_gets_no_second_slot() {
    let mut owner = Owner::new(&["e1"]);
    let slot_request = make_request(5, false);

    let first = owner.respond("a", &slot_request);
    let second = owner.respond("a", &slot_request);

    assert_eq!(first, second);
    assert_eq!(owner.placement.occupancy("p"), (1, 8));
}

/// Guards against slots that stay granted for good although the host crashed right after the grant, or never
/// received the response. The target would end up empty.
#[tokio::test(start_paused = true)]
async fn an_unconfirmed_grant_expires() {
    let mut owner = Owner::new(&["e1"]);
    owner.grant("a");

    advance(Duration::from_millis(300)).await;
    owner.ledger.expire(&mut owner.placement, Instant::now());

    assert_eq!(owner.placement.occupancy("p"), (0, 8));
}

/// Guards against a report that was sent before a grant arrived and so does not contain it. If it freed the
/// slot, a second caller would be granted the same one.
#[tokio::test(start_paused = true)]
async fn a_report_sent_before_a_grant_does_not_free_its_slot() {
    let mut owner = Owner::new(&["e1"]);
    let (target, grant) = owner.grant("a");

    owner.receive("a", report(1, vec![]));
    let unconfirmed = owner.online("a", "e1");
    let confirming = SlotReport { acknowledged_grant: grant, ..report(2, vec![load("e1", 1, 0)]) };
    owner.receive("a", confirming);
    let confirmed = owner.online("a", "e1");
    owner.receive("a", SlotReport { acknowledged_grant: grant, ..report(3, vec![]) });

    assert_eq!(target, name_hash("e1"));
    assert_eq!((unconfirmed, confirmed, owner.online("a", "e1")), (1, 1, 0));
}

/// Guards against the use of a grant that a later one overtook in the network. A report sent between the two
/// arrivals shows the owner that the first grant is unused, and its slot may go to another host; used after
/// all, the slot would hold two requests.
#[tokio::test(start_paused = true)]
async fn an_overtaken_grant_is_rejected() {
    let mut owner = Owner::new(&["e1"]);
    let mut numbers = GrantSequence::default();
    let ((_, first), (_, second)) = (owner.grant("a"), owner.grant("a"));

    let is_second_accepted = numbers.accept(second);
    let acknowledged_grant = numbers.acknowledge();
    owner.receive("a", SlotReport { acknowledged_grant, ..report(1, vec![load("e1", 1, 0)]) });

    assert!(is_second_accepted);
    assert_eq!(owner.online("a", "e1"), 1);
    assert!(!numbers.accept(first));
}

/// Guards against datagrams that arrive out of order. An old report in place of a newer one would count work
/// that has ended.
#[tokio::test(start_paused = true)]
async fn a_late_report_is_dropped() {
    let mut owner = Owner::new(&["e1"]);

    let applied = [
        owner.receive("a", report(2, vec![])),
        owner.receive("a", report(1, vec![load("e1", 3, 0)])),
    ];

    assert_eq!(applied, [true, false]);
    assert_eq!(owner.placement.occupancy("p"), (0, 8));
}

/// Guards against slots that stay occupied for good by the last report of a host that was killed.
#[tokio::test(start_paused = true)]
async fn the_load_of_a_silent_host_expires() {
    let mut owner = Owner::new(&["e1"]);
    owner.receive("a", report(1, vec![load("e1", 8, 0)]));

    advance(Duration::from_millis(500)).await;
    owner.ledger.expire(&mut owner.placement, Instant::now());

    assert_eq!(owner.placement.occupancy("p"), (0, 8));
}

/// Guards against callers that wait for seconds behind batch items when a burst arrives while items fill the
/// targets. The caller is sent to a target where an item can be preempted, and the item's host is limited to
/// just one item fewer.
#[tokio::test(start_paused = true)]
async fn an_item_is_preempted_at_the_target_that_a_request_is_sent_to() {
    let mut owner = Owner::new(&["e1", "e2"]);
    owner.receive("b", report(1, vec![load("e1", 0, 3)]));
    owner.receive("c", report(1, vec![load("e1", 5, 0), load("e2", 8, 0)]));

    let (chosen, _) = owner.grant("a");

    assert_eq!(chosen, name_hash("e1"));
    let limit = ItemLimit { host: host("b"), target: name_hash("e1"), items: 2 };
    assert_eq!(owner.limits(), [limit]);
}

/// Guards against double counting of the owner's own requests. The owner serves callers as well; if a grant
/// counted beside the work that it begins, each of its requests would occupy two slots.
#[tokio::test(start_paused = true)]
async fn the_owners_own_request_counts_once() {
    let mut owner = Owner::new(&["e1"]);

    owner.grant("o");
    owner.placement.begin("e1", WorkKind::Online);

    assert_eq!(owner.placement.occupancy("p"), (1, 8));
}

/// Guards against work lost for nothing: several hosts have items at a target with more work than slots, and
/// each of them would preempt one.
#[tokio::test(start_paused = true)]
async fn only_one_host_preempts_an_item_for_one_request() {
    let mut owner = Owner::new(&["e1"]);
    owner.receive("a", report(1, vec![load("e1", 0, 1)]));
    owner.receive("b", report(1, vec![load("e1", 0, 1)]));
    owner.receive("c", report(1, vec![load("e1", 7, 0)]));

    let limits = owner.limits();

    assert_eq!(limits, [ItemLimit { host: host("a"), target: name_hash("e1"), items: 0 }]);
}

/// Guards against a lost limit command: the caller placed at the target would wait behind the item for
/// seconds. The limit is repeated until a report shows that the item is gone, but only at an interval, not
/// with every other message.
#[tokio::test(start_paused = true)]
async fn a_limit_is_repeated_until_the_item_is_gone() {
    let mut owner = Owner::new(&["e1"]);
    owner.receive("b", report(1, vec![load("e1", 0, 1)]));
    owner.receive("c", report(1, vec![load("e1", 8, 0)]));

    let first = owner.limits();
    let at_once = owner.limits();
    advance(Duration::from_millis(20)).await;
    let repeated = owner.limits();
    owner.receive("b", report(2, vec![]));
    advance(Duration::from_millis(20)).await;

    assert_eq!((first.len(), at_once.len(), repeated.len()), (1, 0, 1));
    assert_eq!(owner.limits(), []);
}

/// Guards against two hosts that fill the same free slots with their waiting items, which would then be in
/// the way of the next request.
#[tokio::test(start_paused = true)]
async fn free_slots_are_granted_to_items_once() {
    let mut owner = Owner::new(&["e1"]);
    owner.receive("a", SlotReport { demand: waiting(9_000, 5), ..report(1, vec![]) });
    owner.receive("b", SlotReport { demand: waiting(9_000, 5), ..report(1, vec![]) });
    settle().await;

    let grants = owner.grant_items(vec![]);
    let again = owner.grant_items(vec![]);

    let items: Vec<u16> = grants.iter().map(|grant| grant.items).collect();
    assert_eq!(items.iter().sum::<u16>(), 8);
    assert_eq!(again, []);
}

/// Guards against jobs that are all late together because too few slots are free. Items that are due soon at
/// one host go before items with time left at another.
#[tokio::test(start_paused = true)]
async fn the_most_urgent_items_of_all_hosts_get_the_free_slots() {
    let mut owner = Owner::new(&["e1"]);
    owner.receive("a", SlotReport { demand: waiting(9_000, 8), ..report(1, vec![]) });
    owner.receive("b", SlotReport { demand: waiting(1_000, 6), ..report(1, vec![]) });
    settle().await;

    let grants = owner.grant_items(waiting(500, 1));

    let items = |name| {
        let of_host = grants.iter().filter(|grant| grant.host == host(name));
        of_host.map(|grant| grant.items).sum::<u16>()
    };
    assert_eq!((items("o"), items("b"), items("a")), (1, 6, 1));
}

/// Guards against items that are preempted as soon as they begin, in the few slots that a steady flow of
/// callers leaves free. When no callers arrive, items get every slot.
#[tokio::test(start_paused = true)]
async fn slots_that_callers_need_soon_are_not_granted_to_items() {
    let mut owner = Owner::new(&["e1"]);
    owner.receive("b", SlotReport { demand: waiting(9_000, 8), ..report(1, vec![]) });
    settle().await;
    for _ in 0..3 {
        owner.grant("a");
    }

    let while_callers_arrive: u16 = owner.grant_items(vec![]).iter().map(|grant| grant.items).sum();
    advance(Duration::from_millis(150)).await;
    let later: u16 = owner.grant_items(vec![]).iter().map(|grant| grant.items).sum();

    assert_eq!((while_callers_arrive, later), (2, 3));
}

/// Guards against a new owner that has no reports yet and grants all slots to items. Slots that callers
/// occupy would then hold twice as much work.
#[tokio::test(start_paused = true)]
async fn a_new_owner_grants_items_no_slots_before_all_hosts_have_reported() {
    let mut owner = Owner::new(&["e1"]);
    owner.receive("a", SlotReport { demand: waiting(9_000, 8), ..report(1, vec![]) });

    let at_once = owner.grant_items(vec![]);
    owner.receive("c", report(1, vec![load("e1", 8, 0)]));
    settle().await;

    assert_eq!((at_once, owner.grant_items(vec![])), (vec![], vec![]));
}

/// Guards against slots that are granted and returned again and again because the host cannot reach the
/// target, while its items wait.
#[tokio::test(start_paused = true)]
async fn a_host_gets_no_slots_at_targets_that_it_avoids() {
    let mut owner = Owner::new(&["e1", "e2"]);
    let base = SlotReport { demand: waiting(9_000, 4), ..report(1, vec![]) };
    owner.receive("a", SlotReport { avoided: vec![name_hash("e1")], ..base });
    settle().await;

    let grants = owner.grant_items(vec![]);

    assert!(grants.iter().all(|grant| grant.target == name_hash("e2")), "{grants:?}");
    assert!(!grants.is_empty());
}

/// Guards against grants by outdated reports after a pause of the owner, during which another host took over
/// the group: two callers would get the same slot.
#[tokio::test(start_paused = true)]
async fn an_owner_resets_after_a_pause() {
    let mut owner = Owner::new(&["e1"]);
    owner.receive(
        "a",
        SlotReport { demand: waiting(9_000, 8), ..report(1, vec![load("e1", 8, 0)]) },
    );
    settle().await;

    owner.ledger.reset(&mut owner.placement);

    assert_eq!(owner.placement.occupancy("p"), (0, 8));
    assert_eq!(owner.grant_items(waiting(500, 1)), []);
}
