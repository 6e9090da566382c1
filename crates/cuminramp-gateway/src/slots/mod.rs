//! Slots of targets: questions to their owners, reports to them, and what this host owns itself.

mod ask;
mod cold;
mod owner;
mod report;

use std::sync::Mutex;
use std::sync::atomic::AtomicU64;

use cuminramp_core::{HostId, Name, SortedMap};
use cuminramp_fleet::{
    GrantSequence, ItemDemand, OwnerTable, ReportTimer, SlotGroup, SlotLedger, SlotResponse,
};
use tokio::sync::{Notify, oneshot};
use tokio::time::Instant;

use crate::jobs::may_run_in;
use crate::state::{GatewayState, lock};

pub(crate) use ask::{PlacedBy, find_slot, take_response};
pub(crate) use owner::{take_owner_failure, take_report, take_request, tend_slots};
pub(crate) use report::{ask_for_item_slots, send_reports, take_command};

/// What this host knows of slots: those that it owns, and those that it uses.
pub(crate) struct SlotState {
    ledger: Mutex<SlotLedger>,
    owners: Mutex<OwnerTable>,
    reports: Mutex<ReportTimer>,
    report_wanted: Notify,
    report_sequence: AtomicU64,
    /// By address of the owner.
    grants: Mutex<SortedMap<Name, GrantSequence>>,
    next_request: AtomicU64,
    waiting: Mutex<SortedMap<u64, oneshot::Sender<SlotResponse>>>,
}

impl SlotState {
    /// Knows nothing yet.
    pub(crate) fn new(me: HostId) -> Self {
        SlotState {
            ledger: SlotLedger::new(me).into(),
            owners: Default::default(),
            reports: Default::default(),
            report_wanted: Notify::new(),
            report_sequence: AtomicU64::new(1),
            grants: Default::default(),
            next_request: AtomicU64::new(1),
            waiting: Default::default(),
        }
    }

    /// Forgets what it owned, as after a pause of this host.
    pub(crate) fn reset(&self, state: &GatewayState) {
        let mut placement = lock(&state.placement);
        lock(&self.ledger).reset(&mut placement);
        drop(placement);
        self.bring_all_forward();
    }

    /// A slot of a group came free, or items wait for one.
    pub(crate) fn bring_forward(&self, group: &SlotGroup) {
        lock(&self.reports).bring_forward(group, Instant::now());
        self.report_wanted.notify_one();
    }

    /// A slot was taken that its owner handed out.
    pub(crate) fn schedule(&self, group: &SlotGroup) {
        lock(&self.reports).schedule(group, Instant::now());
        self.report_wanted.notify_one();
    }

    fn bring_all_forward(&self) {
        lock(&self.reports).bring_all_forward(Instant::now());
        self.report_wanted.notify_one();
    }

    /// Takes a grant; `false` where a report has shown its owner already that it came to nothing.
    fn take_grant(&self, owner: &Name, grant: u64) -> bool {
        let mut grants = lock(&self.grants);
        grants.get_or_insert_with(owner.clone(), GrantSequence::default).accept(grant)
    }

    /// The last grant of an owner, as a report tells it.
    fn tell_grants(&self, owner: &Name) -> u64 {
        let mut grants = lock(&self.grants);
        grants.get_or_insert_with(owner.clone(), GrantSequence::default).acknowledge()
    }
}

/// The owner of a group as this host sees it.
fn owner_of(state: &GatewayState, group: &SlotGroup) -> Option<HostId> {
    let is_me_ready = state.is_ready();
    let peers = lock(&state.peers);
    lock(&state.slots.owners).owner(group, &peers, is_me_ready, Instant::now())
}

/// Items of this host that wait for a slot of a group.
fn item_demand(state: &GatewayState, group: &SlotGroup) -> Vec<ItemDemand> {
    if state.is_draining() {
        return vec![];
    }
    let jobs = lock(&state.jobs);
    jobs.demand(|spec| may_run_in(state, spec, &group.pool, &group.zone), Instant::now())
}
