//! The calls between daemons.

use crate::Encoded;
use crate::peer::{
    BorrowReply, BorrowRequest, CrashReport, Handover, Probe, ProbeReply, PullReply, PullRequest,
    YieldNotice,
};

/// Calls that a daemon answers for other daemons.
///
/// A call may arrive late, more than once or never, so each is safe to repeat: probes and crash reports
/// are merged into the receiver's state, a pull only reads, a borrow debits the shard's owner before the
/// requester is credited, and a handover is applied once per epoch.
#[tarpc::service]
pub trait PeerService {
    /// Checks whether the receiver is alive or, if the probe names a target host, whether that host is.
    /// The reply reports the versions that the receiver has in force.
    async fn probe(request: Encoded<Probe>) -> Encoded<ProbeReply>;
    /// Returns the changes of the configuration, the withdrawals and the shards that the requester lacks. If
    /// the log of changes does not reach back far enough, returns a snapshot of the configuration instead.
    async fn pull(request: Encoded<PullRequest>) -> Encoded<PullReply>;
    /// Debits tokens of a team from the receiver, which owns the shard, and lends them to the requester for
    /// a short time.
    async fn borrow(request: Encoded<BorrowRequest>) -> Encoded<BorrowReply>;
    /// Hands the tokens of a shard over to the receiver, the shard's new owner.
    async fn hand_over(request: Encoded<Handover>) -> ();
    /// Reports crash counts of requests that crashed a target.
    async fn report_crash(request: Encoded<CrashReport>) -> ();
    /// Notifies the batch owner of engines that online work is on its way to them, so that it preempts the
    /// batch items there.
    async fn yield_targets(request: Encoded<YieldNotice>) -> ();
}
