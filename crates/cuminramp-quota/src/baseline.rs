//! The baselines that the shards are weighed against.

use cuminramp_core::{Name, SortedMap};
use tokio::time::Instant;

use crate::{Admission, Millitokens, TeamLimits, TokenBucket};

/// Each host may spend an equal fixed part of every team's limit, and nobody lends.
///
/// It never exceeds a limit while the number of hosts is right, and it refuses a team whose callers
/// all connect to one host once they use that host's part.
#[derive(Debug, Default)]
pub struct StaticSplit {
    teams: SortedMap<Name, TokenBucket>,
}

impl StaticSplit {
    /// No team has been seen yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Decides on a request, with `hosts` hosts sharing the limit.
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
        let make = || TokenBucket::full(rate, burst, now);
        let bucket = self.teams.get_or_insert_with(team.clone(), make);
        let taken = bucket.take(cost, now);
        if taken == cost {
            return Admission::Admitted(None);
        }
        bucket.put_back(taken);
        Admission::Refused(bucket.wait_for(cost, now))
    }
}
