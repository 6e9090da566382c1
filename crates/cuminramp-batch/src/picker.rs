//! Selects the job that a host works on next.

use cuminramp_core::{Name, SortedMap};

/// A job with chunks left to run, as listed by this host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OpenJob {
    /// Identifier of the job.
    pub id: Name,
    /// Team that the job belongs to.
    pub team: Name,
    /// Weight of the team.
    pub weight: u32,
}

/// Weighted fair scheduler of a host's chunks: teams share them by weight, and the jobs of one team
/// share its part round-robin.
///
/// If jobs ran in order of arrival, one of 84,000 items would delay one of 80 items until it has ended.
#[derive(Debug, Default)]
pub struct JobPicker {
    /// Items scheduled so far for each team, divided by its weight.
    served: SortedMap<Name, f64>,
    /// Value of `picks` when each job was last picked.
    picked: SortedMap<Name, u64>,
    picks: u64,
}

impl JobPicker {
    /// Creates a picker without any recorded picks.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the jobs in scheduling order: first the team with the fewest items for its weight, and
    /// within a team the job that was picked least recently.
    ///
    /// ```
    /// use cuminramp_batch::{JobPicker, OpenJob};
    /// let job = |id: &str, team: &str| OpenJob { id: id.into(), team: team.into(), weight: 1 };
    /// let jobs = [job("large", "a"), job("small", "b")];
    /// let mut picker = JobPicker::new();
    /// picker.record_claimed(&jobs[0], 500);
    /// assert_eq!(&*picker.order(&jobs)[0].id, "small");
    /// ```
    pub fn order<'j>(&mut self, jobs: &'j [OpenJob]) -> Vec<&'j OpenJob> {
        self.remove_closed(jobs);
        // A team without a count starts at the lowest count of the others. Starting at 0, a team that
        // returns after a pause would be owed all the capacity it did not use in the meantime.
        let floor = jobs.iter().filter_map(|job| self.served.get(&*job.team)).copied();
        let floor = floor.fold(f64::INFINITY, f64::min);
        for job in jobs {
            self.served.get_or_insert_with(job.team.clone(), || {
                if floor.is_finite() { floor } else { 0.0 }
            });
        }
        let mut ordered: Vec<&OpenJob> = jobs.iter().collect();
        ordered.sort_by(|left, right| {
            let served = |job: &OpenJob| self.served.get(&*job.team).copied().unwrap_or(0.0);
            let picked = |job: &OpenJob| self.picked.get(&*job.id).copied().unwrap_or(0);
            served(left).total_cmp(&served(right)).then(picked(left).cmp(&picked(right)))
        });
        ordered
    }

    /// Records that `items` items of a job were scheduled on this host.
    pub fn record_claimed(&mut self, job: &OpenJob, items: u32) {
        self.picks += 1;
        self.picked.insert(job.id.clone(), self.picks);
        let share = f64::from(items) / f64::from(job.weight.max(1));
        *self.served.get_or_insert_with(job.team.clone(), || 0.0) += share;
    }

    fn remove_closed(&mut self, jobs: &[OpenJob]) {
        self.picked.retain(|id, _| jobs.iter().any(|job| job.id == *id));
        self.served.retain(|team, _| jobs.iter().any(|job| job.team == *team));
    }
}

#[cfg(test)]
mod tests;
