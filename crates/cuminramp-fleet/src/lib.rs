//! Decisions of hosts that share load, rate and jobs without a coordinator.
//!
//! Nothing here does I/O. The gateway feeds these machines with events and the time, and carries out
//! what they decide:
//!
//! - [`FleetDeclarations`] says which routes, pools, teams and keys are in force;
//! - [`HostHeartbeat`] is what hosts tell each other many times a second, and [`PeerTable`] what a host
//!   believes of the others by it;
//! - [`QuotaTable`] holds teams to their rate and burst over all hosts;
//! - [`PlacementTable`] knows what is in flight at targets, and which of them fail;
//! - [`DrainTable`] knows the availability zones that operators drained, and [`RegionMap`] where work of a
//!   route or team may run;
//! - [`SlotLedger`] hands out the slots of a group of targets, which one host owns, and says which items
//!   give way; [`SlotSearch`] asks owners, [`OwnerTable`] says who they are;
//! - [`AcceptanceView`] says what follows each try to make a job durable;
//! - [`allocate_slots`] says whose items go first where fewer slots are free than items wait;
//! - [`JobTable`] orders the items of the jobs that this host holds.

mod acceptance;
mod declarations;
mod demand;
mod drains;
#[cfg(test)]
mod fixtures;
mod heartbeat;
mod homes;
mod jobs;
mod message;
mod outliers;
mod peers;
mod placement;
mod quota;
mod row_cache;
mod schedule;
mod slots;
mod steering;

pub use acceptance::{AcceptanceStep, AcceptanceView, FoundJob};
pub use declarations::{
    CallerLimits, DeclarationStore, FleetDeclarations, PoolRule, PoolShare, RouteKind, RouteRule,
    TeamRule,
};
pub use demand::{ItemDemand, MAX_DEMAND_GROUPS, allocate_slots};
pub use drains::{DrainTable, ZoneDrain};
pub use heartbeat::{
    CrashCount, EndedJob, HostHeartbeat, KnownHost, ReportedLoad, TargetLoad, TeamUsage, name_hash,
};
pub use homes::{RegionMap, ZoneLimit};
pub use jobs::{
    FinishedItem, HeldJob, ItemFailure, ItemOutcome, ItemProgress, ItemSpec, ItemStart, JobPolicy,
    JobSpec, JobTable, UnsavedJob,
};
pub use message::HostMessage;
pub use outliers::{OutlierChange, TargetOutcomes};
pub use peers::{PeerPolicy, PeerRecord, PeerTable};
pub use placement::{
    ColdRule, ColdShare, ColdTolerance, FleetTarget, PlacementDecision, PlacementPolicy,
    PlacementRequest, PlacementTable, TargetPhase, WorkKind,
};
pub use quota::{QuotaDecision, QuotaTable, QuotaTolerance};
pub use row_cache::{ChangedRow, KnownRow, RowAction, RowCache, RowCachePolicy};
pub use schedule::{HeartbeatSchedule, HeartbeatTimer};
pub use slots::{
    GrantSequence, GroupShare, ItemGrant, ItemLimit, OwnerFailure, OwnerTable, ReportTimer,
    SearchLimits, SearchStep, SlotCommand, SlotGroup, SlotLedger, SlotOutcome, SlotReport,
    SlotRequest, SlotResponse, SlotSearch,
};
pub use steering::{SteeringArea, SteeringBounds};
