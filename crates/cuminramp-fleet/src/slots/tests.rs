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
        cold_for: Duration::ZERO,
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

/// The owner "o" of a group, with its board.
struct Owner {
    placement: PlacementTable,
    ledger: SlotLedger,
    random: SeededRandom,
    asks: u64,
}

impl Owner {
    fn new(targets: &[&str]) -> Self {
        let mut placement = PlacementTable::new("z1".into(), PlacementPolicy::default());
        targets.iter().for_each(|id| placement.put(target(id)));
        Owner {
            placement,
            ledger: SlotLedger::new(host("o")),
            random: SeededRandom::new(1),
            asks: 0,
        }
    }

    fn hear(&mut self, from: &str, report: SlotReport) -> bool {
        self.ledger.receive_report(&mut self.placement, &host(from), report, Instant::now())
    }

    fn answer(&mut self, from: &str, slot_request: &SlotRequest) -> SlotResponse {
        let (placement, random) = (&mut self.placement, &mut self.random);
        let now = Instant::now();
        let owned = GroupShare { group: &group(), share: &ColdShare::Owner };
        self.ledger.answer(placement, &host(from), owned, slot_request, random, now)
    }

    fn ask(&mut self, from: &str, may_queue: bool) -> SlotOutcome {
        self.asks += 1;
        let slot_request = make_request(self.asks, may_queue);
        self.answer(from, &slot_request).outcome
    }

    /// The target and number of a grant.
    fn granted(&mut self, from: &str) -> (u32, u64) {
        match self.ask(from, false) {
            SlotOutcome::Granted { target, grant } => (target, grant),
            other => panic!("{other:?}"),
        }
    }

    fn limits(&mut self) -> Vec<ItemLimit> {
        self.ledger.item_limits(&self.placement, &group(), Instant::now())
    }

    fn grant_items(&mut self, own: Vec<ItemDemand>) -> Vec<ItemGrant> {
        let now = Instant::now();
        self.ledger.grant_items(&mut self.placement, &group(), own, &ColdShare::Owner, now)
    }

    fn online(&self, from: &str, id: &str) -> u32 {
        self.ledger.in_flight(&host(from), group().hash(), name_hash(id), WorkKind::Online)
    }
}

fn make_request(request: u64, may_queue: bool) -> SlotRequest {
    SlotRequest { incarnation: 1, request, group: group().hash(), avoided: vec![], may_queue }
}

/// Time in which all hosts report to a new owner.
async fn settle() {
    advance(Duration::from_millis(200)).await;
}

/// A crest of callers at many hosts at once. Did hosts choose by old news, they would crowd targets
/// that stand empty; the owner hands every slot out once.
#[tokio::test(start_paused = true)]
async fn hosts_that_ask_at_once_get_every_slot_once() {
    let mut owner = Owner::new(&["e1", "e2", "e3"]);

    let mut taken: Vec<u32> = (0..24).map(|index| owner.granted(&format!("h{index}")).0).collect();
    let beyond = owner.ask("late", false);

    taken.sort_unstable();
    taken.dedup_by(|left, right| left == right);
    assert_eq!(taken.len(), 3);
    assert_eq!(
        ["e1", "e2", "e3"].map(|id| owner.placement.get(id).map(|target| target.slots)),
        [Some(8); 3]
    );
    assert!(matches!(beyond, SlotOutcome::Busy { .. }), "{beyond:?}");
    assert_eq!(owner.placement.occupancy("p"), (24, 24));
}

/// The first answer got lost, and the host asks again. With a second slot granted one would stand
/// empty while callers are refused.
#[tokio::test(start_paused = true)]
async fn a_repeated_question_takes_no_second_slot() {
    let mut owner = Owner::new(&["e1"]);
    let slot_request = make_request(5, false);

    let first = owner.answer("a", &slot_request);
    let second = owner.answer("a", &slot_request);

    assert_eq!(first, second);
    assert_eq!(owner.placement.occupancy("p"), (1, 8));
}

/// A host died with a slot that it had just been granted, or its answer never arrived. Kept for ever,
/// such slots would leave the target empty.
#[tokio::test(start_paused = true)]
async fn a_grant_that_nobody_uses_comes_back() {
    let mut owner = Owner::new(&["e1"]);
    owner.granted("a");

    advance(Duration::from_millis(300)).await;
    owner.ledger.expire(&mut owner.placement, Instant::now());

    assert_eq!(owner.placement.occupancy("p"), (0, 8));
}

/// A report that left before a grant arrived names nothing yet. Taken as the whole truth, it would
/// give the slot to a second caller.
#[tokio::test(start_paused = true)]
async fn a_report_from_before_a_grant_does_not_free_its_slot() {
    let mut owner = Owner::new(&["e1"]);
    let (target, grant) = owner.granted("a");

    owner.hear("a", report(1, vec![]));
    let before_it_came = owner.online("a", "e1");
    let used = SlotReport { acknowledged_grant: grant, ..report(2, vec![load("e1", 1, 0)]) };
    owner.hear("a", used);
    let in_use = owner.online("a", "e1");
    owner.hear("a", SlotReport { acknowledged_grant: grant, ..report(3, vec![]) });

    assert_eq!(target, name_hash("e1"));
    assert_eq!((before_it_came, in_use, owner.online("a", "e1")), (1, 1, 0));
}

/// Two answers to one host change places on their way, and a report leaves between them. It says that the
/// first grant came to nothing, and its slot goes to another host; used after all, it would be taken twice.
#[tokio::test(start_paused = true)]
async fn an_overtaken_grant_is_not_used() {
    let mut owner = Owner::new(&["e1"]);
    let mut numbers = GrantSequence::default();
    let ((_, first), (_, second)) = (owner.granted("a"), owner.granted("a"));

    let is_second_used = numbers.accept(second);
    let acknowledged_grant = numbers.acknowledge();
    owner.hear("a", SlotReport { acknowledged_grant, ..report(1, vec![load("e1", 1, 0)]) });

    assert!(is_second_used);
    assert_eq!(owner.online("a", "e1"), 1);
    assert!(!numbers.accept(first));
}

/// Datagrams overtake each other. An old report in place of a new one would count work that has ended.
#[tokio::test(start_paused = true)]
async fn a_report_that_came_late_is_dropped() {
    let mut owner = Owner::new(&["e1"]);

    let taken =
        [owner.hear("a", report(2, vec![])), owner.hear("a", report(1, vec![load("e1", 3, 0)]))];

    assert_eq!(taken, [true, false]);
    assert_eq!(owner.placement.occupancy("p"), (0, 8));
}

/// A host that was killed leaves its last report behind. Its slots would stay taken for good.
#[tokio::test(start_paused = true)]
async fn what_a_silent_host_had_in_flight_is_forgotten() {
    let mut owner = Owner::new(&["e1"]);
    owner.hear("a", report(1, vec![load("e1", 8, 0)]));

    advance(Duration::from_millis(500)).await;
    owner.ledger.expire(&mut owner.placement, Instant::now());

    assert_eq!(owner.placement.occupancy("p"), (0, 8));
}

/// Online callers arrive in a wave while batch work fills the targets. A caller that waited behind an
/// item would wait seconds, so it is sent where items give way, and the host that has them is told to
/// keep just so many fewer.
#[tokio::test(start_paused = true)]
async fn batch_gives_way_on_the_target_that_a_request_was_sent_to() {
    let mut owner = Owner::new(&["e1", "e2"]);
    owner.hear("b", report(1, vec![load("e1", 0, 3)]));
    owner.hear("c", report(1, vec![load("e1", 5, 0), load("e2", 8, 0)]));

    let (chosen, _) = owner.granted("a");

    assert_eq!(chosen, name_hash("e1"));
    let limit = ItemLimit { host: host("b"), target: name_hash("e1"), items: 2 };
    assert_eq!(owner.limits(), [limit]);
}

/// The owner serves callers as well. Counted as a grant beside the work that it begins, each of its own
/// requests would take two slots.
#[tokio::test(start_paused = true)]
async fn the_owners_own_request_counts_once() {
    let mut owner = Owner::new(&["e1"]);

    owner.granted("o");
    owner.placement.begin("e1", WorkKind::Online);

    assert_eq!(owner.placement.occupancy("p"), (1, 8));
}

/// Several hosts have items at a target that is over its slots. If each broke one off, work would be
/// lost for nothing.
#[tokio::test(start_paused = true)]
async fn only_one_host_breaks_off_an_item_for_one_request() {
    let mut owner = Owner::new(&["e1"]);
    owner.hear("a", report(1, vec![load("e1", 0, 1)]));
    owner.hear("b", report(1, vec![load("e1", 0, 1)]));
    owner.hear("c", report(1, vec![load("e1", 7, 0)]));

    let limits = owner.limits();

    assert_eq!(limits, [ItemLimit { host: host("a"), target: name_hash("e1"), items: 0 }]);
}

/// The order to let an item go got lost. The caller that was placed there would wait behind the item for
/// seconds, so the order is repeated until a report shows that the item is gone; in between it is not sent
/// with every other message.
#[tokio::test(start_paused = true)]
async fn the_order_to_give_way_is_repeated_until_the_item_is_gone() {
    let mut owner = Owner::new(&["e1"]);
    owner.hear("b", report(1, vec![load("e1", 0, 1)]));
    owner.hear("c", report(1, vec![load("e1", 8, 0)]));

    let first = owner.limits();
    let at_once = owner.limits();
    advance(Duration::from_millis(20)).await;
    let repeated = owner.limits();
    owner.hear("b", report(2, vec![]));
    advance(Duration::from_millis(20)).await;

    assert_eq!((first.len(), at_once.len(), repeated.len()), (1, 0, 1));
    assert_eq!(owner.limits(), []);
}

/// Two hosts have items that wait. Did both fill the same free slots, items would stand in the way of
/// the next request.
#[tokio::test(start_paused = true)]
async fn free_slots_are_handed_to_items_once() {
    let mut owner = Owner::new(&["e1"]);
    owner.hear("a", SlotReport { demand: waiting(9_000, 5), ..report(1, vec![]) });
    owner.hear("b", SlotReport { demand: waiting(9_000, 5), ..report(1, vec![]) });
    settle().await;

    let grants = owner.grant_items(vec![]);
    let again = owner.grant_items(vec![]);

    let items: Vec<u16> = grants.iter().map(|grant| grant.items).collect();
    assert_eq!(items.iter().sum::<u16>(), 8);
    assert_eq!(again, []);
}

/// Fewer slots are free than items wait. Items that are due soon at one host go before those that have
/// time at another, or all jobs would be late together.
#[tokio::test(start_paused = true)]
async fn the_most_urgent_items_of_all_hosts_get_the_free_slots() {
    let mut owner = Owner::new(&["e1"]);
    owner.hear("a", SlotReport { demand: waiting(9_000, 8), ..report(1, vec![]) });
    owner.hear("b", SlotReport { demand: waiting(1_000, 6), ..report(1, vec![]) });
    settle().await;

    let grants = owner.grant_items(waiting(500, 1));

    let items = |name| {
        let of_host = grants.iter().filter(|grant| grant.host == host(name));
        of_host.map(|grant| grant.items).sum::<u16>()
    };
    assert_eq!((items("o"), items("b"), items("a")), (1, 6, 1));
}

/// Callers come steadily and leave a few slots free between them. Items in those slots would be broken
/// off as soon as they began; where no callers come, items get every slot.
#[tokio::test(start_paused = true)]
async fn slots_that_callers_take_in_a_moment_stay_free_of_items() {
    let mut owner = Owner::new(&["e1"]);
    owner.hear("b", SlotReport { demand: waiting(9_000, 8), ..report(1, vec![]) });
    settle().await;
    for _ in 0..3 {
        owner.granted("a");
    }

    let among_callers: u16 = owner.grant_items(vec![]).iter().map(|grant| grant.items).sum();
    advance(Duration::from_millis(150)).await;
    let later: u16 = owner.grant_items(vec![]).iter().map(|grant| grant.items).sum();

    assert_eq!((among_callers, later), (2, 3));
}

/// An owner that was just chosen knows of nothing in flight. Did it hand out all slots to items, the
/// callers that hold them would stand beside twice as much work.
#[tokio::test(start_paused = true)]
async fn a_new_owner_hands_no_slots_to_items_before_all_have_reported() {
    let mut owner = Owner::new(&["e1"]);
    owner.hear("a", SlotReport { demand: waiting(9_000, 8), ..report(1, vec![]) });

    let at_once = owner.grant_items(vec![]);
    owner.hear("c", report(1, vec![load("e1", 8, 0)]));
    settle().await;

    assert_eq!((at_once, owner.grant_items(vec![])), (vec![], vec![]));
}

/// A target can't be reached from one host. Granted again and again, its slots would go back and forth
/// while the host's items wait.
#[tokio::test(start_paused = true)]
async fn a_host_gets_no_slots_where_it_can_send_nothing() {
    let mut owner = Owner::new(&["e1", "e2"]);
    let told = SlotReport { demand: waiting(9_000, 4), ..report(1, vec![]) };
    owner.hear("a", SlotReport { avoided: vec![name_hash("e1")], ..told });
    settle().await;

    let grants = owner.grant_items(vec![]);

    assert!(grants.iter().all(|grant| grant.target == name_hash("e2")), "{grants:?}");
    assert!(!grants.is_empty());
}

/// The owner stood still while another host took its place. What it knew is over; handing out by it
/// would put two callers on one slot.
#[tokio::test(start_paused = true)]
async fn an_owner_that_stood_still_begins_anew() {
    let mut owner = Owner::new(&["e1"]);
    owner.hear("a", SlotReport { demand: waiting(9_000, 8), ..report(1, vec![load("e1", 8, 0)]) });
    settle().await;

    owner.ledger.reset(&mut owner.placement);

    assert_eq!(owner.placement.occupancy("p"), (0, 8));
    assert_eq!(owner.grant_items(waiting(500, 1)), []);
}
