use std::time::Duration;

use proptest::prelude::*;
use tokio::time::Instant;

use super::{EffectiveLimits, TeamLimits};
use crate::LedgerPolicy;

const MAX_GENERATION_LAG: Duration = Duration::from_secs(7);

proptest! {
    // An operator changes a team's rate, and hosts apply the change at different moments. Slices
    // of the old limit on one host and of the new one on another must not add up to more than the
    // old limit during the change, nor to more than the new one after it.
    #[test]
    fn hosts_of_two_generations_stay_under_the_larger_limit(
        old_rate in 1..2_000u64,
        new_rate in 1..2_000u64,
        behind in proptest::collection::vec(any::<bool>(), 40),
    ) {
        let policy = LedgerPolicy::default();
        let now = Instant::now();
        let old = TeamLimits { rate: old_rate * 1_000, burst: old_rate * 1_000 };
        let new = TeamLimits { rate: new_rate * 1_000, burst: new_rate * 1_000 };
        let unchanged = EffectiveLimits::new(old);
        let mut changed = EffectiveLimits::new(old);
        changed.update(new, MAX_GENERATION_LAG, now);

        let rate_of = |index: u32| {
            let behind = behind[index as usize];
            if behind { unchanged.slice(index, &policy) } else { changed.slice(index, &policy) }
        };
        let total: u64 = (0..32).map(|index| rate_of(index).rate).sum();
        changed.update(new, MAX_GENERATION_LAG, now + MAX_GENERATION_LAG);
        let after: u64 = (0..32).map(|index| changed.slice(index, &policy).rate).sum();

        prop_assert!(total <= old.rate);
        prop_assert!(after <= new.rate && after + 32 > new.rate);
    }
}
