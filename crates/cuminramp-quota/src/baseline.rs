//! Quota policies that serve as a baseline for the sharded quota.

use cuminramp_core::{Name, SortedMap};
use tokio::time::Instant;

use crate::{Admission, Millitokens, TeamLimits, TokenBucket};

/// Quota policy that gives each host an equal, fixed part of every team's limit, without lending.
///
/// A host computes its part at the team's first request and keeps it if the limit or the number of
/// hosts changes later. Without such changes the limit is never exceeded. A team whose callers all
/// connect to one host is refused as soon as they use up that host's part.
#[derive(Debug, Default)]
pub struct StaticSplit {
    teams: SortedMap<Name, TokenBucket>,
}

impl StaticSplit {
    /// Returns a split without buckets. A team's bucket is created full at its first request.
    pub fn new() -> Self {
        Self::default()
    }

    /// Admits or refuses a request that costs `cost`. `limits` and the number of hosts that share
    /// them, `hosts`, are applied at the team's first request only.
    ///
    /// ```
    /// # #[tokio::main(flavor = "current_thread")] async fn main() {
    /// use cuminramp_quota::{Admission, StaticSplit, TeamLimits, TOKEN};
    /// let limits = TeamLimits { rate: TOKEN, burst: 2 * TOKEN };
    /// let now = tokio::time::Instant::now();
    /// let mut split = StaticSplit::new();
    /// assert_eq!(split.admit(&"t".into(), limits, TOKEN, 2, now), Admission::Admitted(None));
    /// assert!(matches!(split.admit(&"t".into(), limits, TOKEN, 2, now), Admission::Refused(_)));
    /// # }
    /// ```
    pub fn admit(
        &mut self,
        team: &Name,
        limits: TeamLimits,
        cost: Millitokens,
        hosts: u64,
        now: Instant,
    ) -> Admission {
        let (rate, burst) = (limits.rate / hosts.max(1), limits.burst / hosts.max(1));
        let new_bucket = || TokenBucket::full(rate, burst, now);
        let bucket = self.teams.get_or_insert_with(team.clone(), new_bucket);
        let taken = bucket.take(cost, now);
        if taken == cost {
            return Admission::Admitted(None);
        }
        bucket.put_back(taken);
        Admission::Refused(bucket.time_until(cost, now))
    }
}
