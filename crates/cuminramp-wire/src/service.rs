//! The calls between daemons.

use crate::Encoded;
use crate::peer::{
    BorrowReply, BorrowRequest, CrashReport, Handover, Probe, ProbeReply, PullReply, PullRequest,
    YieldNotice,
};

/// What a daemon answers to another daemon.
///
/// Each call may arrive late, twice or never. A probe and a crash report merge, a pull only reads,
/// a borrow debits the owner before the requester is credited, and a handover is taken once for each
/// epoch, so none does harm when repeated.
#[tarpc::service]
pub trait PeerService {
    /// Are you there, and what have you in force?
    async fn probe(request: Encoded<Probe>) -> Encoded<ProbeReply>;
    /// Give me what I lack.
    async fn pull(request: Encoded<PullRequest>) -> Encoded<PullReply>;
    /// Debit tokens of a team for me.
    async fn borrow(request: Encoded<BorrowRequest>) -> Encoded<BorrowReply>;
    /// You own this shard now; these are its tokens.
    async fn hand_over(request: Encoded<Handover>) -> ();
    /// These requests crashed a target.
    async fn report_crash(request: Encoded<CrashReport>) -> ();
    /// Online work is on its way to these engines.
    async fn yield_targets(request: Encoded<YieldNotice>) -> ();
}
