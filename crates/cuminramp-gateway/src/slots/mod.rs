//! Slots of targets: slot requests and reports to owners of slot groups, and the groups that this host owns.
//!
//! A slot group is the targets of one pool in one availability zone. One host, the owner of the group, grants
//! the slots of these targets to all hosts.

mod admission;
mod borrowed;
mod cold;
mod crowding;
mod owner;
mod pace;
mod queue_monitor;
mod report;
mod request;

use std::sync::Mutex;
use std::sync::atomic::AtomicU64;

use cuminramp_core::{HostId, Name, SortedMap};
use cuminramp_fleet::{
    BorrowedTargets, GrantSequence, ItemDemand, LocalReadiness, OwnerTable, PeerTable, ReportTimer,
    SlotGroup, SlotLedger, SlotResponse,
};
use tokio::sync::{Notify, mpsc, oneshot};
use tokio::time::Instant;

use admission::OwnerResponse;

use crate::jobs::may_run_in;
use crate::state::{GatewayState, lock};

pub(crate) use admission::{AdmissionResult, AdmissionTerms};
pub(crate) use borrowed::{handle_target, return_targets, stop_borrowing};
pub(crate) use owner::{
    handle_admission_request, handle_admission_withdrawal, handle_owner_failure, handle_report,
    handle_request, maintain_owned_groups,
};
pub(crate) use pace::{handle_pace_report, log_pace_changes};
pub(crate) use report::{handle_command, request_item_slots, send_reports};
pub(crate) use request::{PlacedBy, find_slot, handle_response};

/// State of the slots that this host owns and of those that it uses.
pub(crate) struct SlotState {
    ledger: Mutex<SlotLedger>,
    owners: Mutex<OwnerTable>,
    report_timer: Mutex<ReportTimer>,
    report_timer_changed: Notify,
    report_sequence: AtomicU64,
    /// Received and acknowledged grants, by address of the owner.
    grants: Mutex<SortedMap<Name, GrantSequence>>,
    /// Targets that this host knows only by grants.
    borrowed: Mutex<BorrowedTargets>,
    next_request_id: AtomicU64,
    pending_requests: Mutex<SortedMap<u64, oneshot::Sender<SlotResponse>>>,
    /// Requests to owners with an admission queue, which may get several responses.
    pending_admissions: Mutex<SortedMap<u64, mpsc::UnboundedSender<OwnerResponse>>>,
}

impl SlotState {
    /// Creates the state of a host that owns and uses no slot yet.
    pub(crate) fn new(local_id: HostId) -> Self {
        SlotState {
            ledger: SlotLedger::new(local_id).into(),
            owners: Default::default(),
            report_timer: Default::default(),
            report_timer_changed: Notify::new(),
            report_sequence: AtomicU64::new(1),
            grants: Default::default(),
            borrowed: Default::default(),
            next_request_id: AtomicU64::new(1),
            pending_requests: Default::default(),
            pending_admissions: Default::default(),
        }
    }

    /// Returns the owner of a team's tokens as seen by this host.
    pub(crate) fn team_owner(
        &self,
        team: &Name,
        peers: &PeerTable,
        local: LocalReadiness,
        now: Instant,
    ) -> Option<HostId> {
        lock(&self.owners).team_owner(team, peers, local, now)
    }

    /// Returns the owner of a team's tokens and the hosts that would follow it, as seen by this host.
    pub(crate) fn team_owners(
        &self,
        team: &Name,
        peers: &PeerTable,
        local: LocalReadiness,
        count: usize,
        now: Instant,
    ) -> Vec<HostId> {
        lock(&self.owners).team_owners(team, peers, local, count, now)
    }

    /// Excludes a silent host from owning groups and teams. Returns `false` if it is excluded already.
    pub(crate) fn exclude_owner(&self, owner: &HostId, now: Instant) -> bool {
        lock(&self.owners).exclude(owner, now)
    }

    /// Drops the state of owned groups. Called after this host was paused: other hosts may have owned its
    /// groups in the meantime.
    pub(crate) fn reset(&self, state: &GatewayState) {
        let mut placement = lock(&state.placement);
        lock(&self.ledger).reset(&mut placement);
        drop(placement);
        self.bring_all_reports_forward();
    }

    /// Continues under the present incarnation of this host, after it was raised.
    pub(crate) fn renew(&self, state: &GatewayState) {
        let mut placement = lock(&state.placement);
        lock(&self.ledger).renew(state.id(), &mut placement);
        drop(placement);
        self.bring_all_reports_forward();
    }

    /// Brings the next report on a group forward, because a slot came free or items wait for one.
    pub(crate) fn bring_report_forward(&self, group: &SlotGroup) {
        lock(&self.report_timer).bring_forward(group, Instant::now());
        self.report_timer_changed.notify_one();
    }

    /// Schedules the next report on a group at the usual interval, because a slot granted by its owner is in
    /// use.
    pub(crate) fn schedule_report(&self, group: &SlotGroup) {
        lock(&self.report_timer).schedule(group, Instant::now());
        self.report_timer_changed.notify_one();
    }

    fn bring_all_reports_forward(&self) {
        lock(&self.report_timer).bring_all_forward(Instant::now());
        self.report_timer_changed.notify_one();
    }

    /// Records a grant and returns whether it may be used. A grant that arrives after a report acknowledged
    /// a later one must not be used, because its owner counts it as unused since that report.
    fn accept_grant(&self, owner: &Name, grant: u64) -> bool {
        let mut grants = lock(&self.grants);
        grants.get_or_insert_with(owner.clone(), GrantSequence::default).accept(grant)
    }

    /// Forgets the grants of a host's earlier run. Grants are numbered from the incarnation on, so that those of a run
    /// with a lower one would count as late.
    pub(crate) fn forget_grants(&self, owner: &Name) {
        lock(&self.grants).remove(owner);
    }

    /// Marks the grants received from an owner as acknowledged, and returns the number of the last one for
    /// the report that acknowledges them.
    fn acknowledge_grants(&self, owner: &Name) -> u64 {
        let mut grants = lock(&self.grants);
        grants.get_or_insert_with(owner.clone(), GrantSequence::default).acknowledge()
    }
}

/// Returns the groups of a pool that may have targets. A host that does not know the targets asks the owners of
/// all zones.
pub(crate) fn groups_of(state: &GatewayState, pool: &str) -> Vec<SlotGroup> {
    if !state.borrows_targets() {
        return lock(&state.placement).groups(pool);
    }
    let zones = state.settings.zone_regions.iter().map(|region| region.zone.as_str());
    zones.map(|zone| SlotGroup { pool: pool.into(), zone: zone.into() }).collect()
}

/// Returns the addresses of the hosts that own the groups of a pool.
pub(crate) fn group_owners(state: &GatewayState, pool: &str) -> Vec<Name> {
    let groups = groups_of(state, pool);
    let owners = groups.iter().filter_map(|group| owner_of(state, group));
    owners.map(|owner| owner.address).collect()
}

/// Returns the owner of a group as seen by this host; `None` if no host may own it.
fn owner_of(state: &GatewayState, group: &SlotGroup) -> Option<HostId> {
    let is_local_ready = state.is_ready() && !state.borrows_targets();
    let peers = lock(&state.peers);
    lock(&state.slots.owners).owner(group, &peers, is_local_ready, Instant::now())
}

/// Returns the items of this host that wait for a slot of a group; none while the host drains.
fn item_demand(state: &GatewayState, group: &SlotGroup) -> Vec<ItemDemand> {
    if state.is_draining() {
        return vec![];
    }
    let jobs = lock(&state.jobs);
    jobs.demand(|spec| may_run_in(state, spec, &group.pool, &group.zone), Instant::now())
}
