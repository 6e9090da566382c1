//! Decisions of hosts that share load, rate and jobs without a coordinator.
//!
//! Nothing here does I/O. The gateway feeds these machines with events and the time, and carries out
//! what they decide:
//!
//! - [`FleetDeclarations`] says which routes, pools, teams and keys are in force;
//! - [`HostHeartbeat`] is what hosts tell each other many times a second, and [`PeerTable`] what a host
//!   believes of the others by it;
//! - [`QuotaBook`] holds teams to their rate and burst over all hosts;
//! - [`TargetBoard`] knows what is in flight at targets, and which of them fail;
//! - [`DrainBook`] knows the availability zones that operators drained, and [`RegionMap`] where work of a
//!   route or team may run;
//! - [`SlotLedger`] hands out the slots of a group of targets, which one host owns, and says which items
//!   give way; [`SlotSearch`] asks owners, [`OwnerBook`] says who they are;
//! - [`AcceptanceView`] says what follows each try to make a job durable;
//! - [`share_room`] says whose items go first where fewer slots are free than items wait;
//! - [`JobBoard`] orders the items of the jobs that this host holds.

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
pub use demand::{ItemDemand, MOST_DEMAND_GROUPS, share_room};
pub use drains::{DrainBook, ZoneDrain};
pub use heartbeat::{
    EndedJob, HostHeartbeat, KnownHost, SuspectCount, TargetLoad, TeamUsage, ToldLoad, name_hash,
};
pub use homes::{RegionMap, ZoneLimit};
pub use jobs::{
    FinishedItem, HeldJob, ItemFailure, ItemOutcome, ItemProgress, ItemSpec, ItemStart, JobBoard,
    JobPolicy, JobSpec, UnsavedJob,
};
pub use message::HostMessage;
pub use outliers::{DoubtChange, TargetOutcomes};
pub use peers::{PeerPolicy, PeerRecord, PeerTable};
pub use placement::{
    ColdRule, ColdShare, ColdTolerance, FleetTarget, OnlineNeed, PlacementDecision,
    PlacementPolicy, TargetBoard, TargetPhase, WorkKind,
};
pub use quota::{QuotaBook, QuotaDecision, QuotaTolerance};
pub use row_cache::{ChangedRow, KnownRow, RegistryPolicy, RowAction, RowRegistry};
pub use schedule::{HeartbeatRhythm, HeartbeatTimes};
pub use slots::{
    GrantNumbers, GroupShare, ItemGrant, ItemLimit, OwnerBook, OwnerClaim, ReportTimes, SearchNeed,
    SearchStep, SlotAnswer, SlotAsk, SlotGroup, SlotLedger, SlotOrder, SlotOutcome, SlotReport,
    SlotSearch,
};
pub use steering::{SteeringArea, SteeringBounds};
