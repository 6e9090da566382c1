//! State machines with which hosts share load, rate limits and jobs without a coordinator.
//!
//! This crate does no I/O. The gateway passes events and the current time to these types and carries out
//! their decisions:
//!
//! - [`FleetDeclarations`] contains the routes, pools, teams and keys in force;
//! - [`HostHeartbeat`] is the state that hosts report to each other many times a second, and [`PeerTable`]
//!   records the state of the other hosts;
//! - [`QuotaTable`] enforces the rate and burst of teams over all hosts, with the tokens that the owner of
//!   each team grants;
//! - [`PlacementTable`] tracks the work in flight at targets, and which targets fail;
//! - [`DrainTable`] contains the availability zones that operators have drained, and [`RegionMap`] the
//!   zones in which the work of a route or team may run;
//! - [`ExitCheck`] decides which requests a host still sends to targets before it exits, from how long those
//!   of each route took ([`RouteDurations`]);
//! - [`SlotLedger`] grants the slots of a group of targets, which one host owns, and decides which items
//!   are preempted; [`SlotSearch`] sends slot requests to owners, which [`OwnerTable`] determines;
//! - [`AdmissionQueue`] orders the requests that wait for a slot of a group while all of its slots are taken;
//! - [`RowCache`] contains the rows of a watched table, from the store and from other hosts;
//! - [`TableSource`] tells from where a host follows a table, and [`TableMirror`] is its copy of the table, which
//!   other hosts follow in turn;
//! - [`SteeringArea`] selects the hosts that callers are steered to, and [`HeartbeatSchedule`] derives the
//!   intervals of heartbeats from the number of hosts;
//! - [`StreamRecords`] tells which software began a stream, and [`OriginSearch`] decides from what several
//!   hosts know;
//! - [`PartTable`] holds back requests with a part of a prompt that crashes targets;
//! - [`AcceptanceView`] returns the next step after each attempt to make a job durable;
//! - [`allocate_slots`] decides whose items run first when fewer slots are free than items wait;
//! - [`JobTable`] orders the items of the jobs that this host holds.

mod acceptance;
mod admission;
mod declarations;
mod demand;
mod drains;
mod exits;
#[cfg(test)]
mod fixtures;
mod heartbeat;
mod homes;
mod jobs;
mod message;
mod outliers;
mod peers;
mod placement;
mod presence;
mod prompt_parts;
mod quota;
mod row_cache;
mod schedule;
mod slots;
mod software;
mod start_view;
mod steering;
mod streams;
mod table_mirror;
mod table_source;

pub use acceptance::{AcceptanceStep, AcceptanceView, JobRowWriter};
pub use admission::{
    AdmissionQueue, AdmissionRequest, AdmissionWithdrawal, GroupCapacity, QueueDecision,
    QueueStatus, RejectedRequest, RejectionReason, ReturnSchedule, ShareReport, TeamShare,
    TeamWeights, WaitingRequest,
};
pub use declarations::{
    CallerLimits, DeclarationStore, FleetDeclarations, PoolRule, PoolShare, RouteKind, RouteRule,
    TeamRule,
};
pub use demand::{ItemDemand, MAX_DEMAND_GROUPS, allocate_slots};
pub use drains::{DrainTable, ZoneDrain};
pub use exits::{ExitCheck, RouteDurations};
pub use heartbeat::{
    CrashCount, EndedJob, HostHeartbeat, HostStatus, KnownHost, ReportedLoad, TargetLoad,
    TeamUsage, name_hash,
};
pub use homes::{RegionMap, ZoneLimit};
pub use jobs::{
    FinishedItem, HeldJob, ItemFailure, ItemOutcome, ItemProgress, ItemSpec, ItemStart, JobPolicy,
    JobSpec, JobTable, UnsavedProgress,
};
pub use message::HostMessage;
pub use outliers::{OutlierChange, TargetOutcomes};
pub use peers::{
    LocalReadiness, PROBE_INTERVAL, PeerPolicy, PeerRecord, PeerTable, ProbeStep, StatusRequest,
    StatusResponse, incarnation_after,
};
pub use placement::{
    ColdRule, ColdShare, ColdTolerance, FleetTarget, PaceChange, PlacementDecision,
    PlacementPolicy, PlacementRequest, PlacementTable, TARGET_PACE_RANGE, TargetPhase, WorkKind,
};
pub use presence::{HostSight, PresenceStep, PresenceView, RowPresence, SUSPICION_READ_INTERVAL};
pub use prompt_parts::{
    HeldPart, PartCounts, PartDecision, PartPolicy, PartReport, PartTable, PoolPart, PromptPart,
    ReportedCrash, SoundParts,
};
pub use quota::{
    AttemptKind, QuotaDecision, QuotaTable, QuotaTolerance, TeamStatus, TokenOutcome, TokenRequest,
    TokenResponse,
};
pub use row_cache::{ChangedRow, KnownRow, RowAction, RowCache, RowCachePolicy};
pub use schedule::{HeartbeatSchedule, HeartbeatTimer, MAX_HEARTBEAT_HOSTS};
pub use slots::{
    BorrowedTargets, GrantSequence, GroupShare, ItemGrant, ItemLimit, OwnerFailure, OwnerTable,
    PaceReport, ReportTimer, SearchLimits, SearchStep, SlotCommand, SlotGroup, SlotLedger,
    SlotOutcome, SlotReport, SlotRequest, SlotResponse, SlotSearch, TargetPaceReport,
    VersionedSlotRequest,
};
pub use software::SoftwareVersion;
pub use start_view::{FleetKnowledge, StartView, StartWait};
pub use steering::{SteeringArea, SteeringBounds};
pub use streams::{
    KnownOrigin, OriginRequest, OriginResponse, OriginSearch, RECORD_RENEWAL, StreamOrigin,
    StreamRecords, stream_key,
};
pub use table_mirror::TableMirror;
pub use table_source::TableSource;
