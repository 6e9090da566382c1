//! Which job a host works on next.

use cuminramp_core::{Name, SortedMap};

/// A job with work left, as a host knows it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OpenJob {
    /// Its identifier.
    pub id: Name,
    /// Its team.
    pub team: Name,
    /// The team's weight.
    pub weight: u32,
}

/// Shares a host's chunks among teams by weight, and a team's among its jobs in turn.
///
/// Taken in order of arrival, a job of 84,000 items would hold one of 80 back until it ends.
#[derive(Debug, Default)]
pub struct JobPicker {
    /// By team: items taken so far, divided by weight.
    served: SortedMap<Name, f64>,
    /// By job: when it was last picked.
    picked: SortedMap<Name, u64>,
    picks: u64,
}

impl JobPicker {
    /// Nothing has been picked yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Orders jobs by whose turn it is: the team that got least for its weight first, and of its
    /// jobs the one that was picked longest ago.
    ///
    /// ```
    /// use cuminramp_batch::{JobPicker, OpenJob};
    /// let job = |id: &str, team: &str| OpenJob { id: id.into(), team: team.into(), weight: 1 };
    /// let jobs = [job("large", "a"), job("small", "b")];
    /// let mut picker = JobPicker::new();
    /// picker.note(&jobs[0], 500);
    /// assert_eq!(&*picker.order(&jobs)[0].id, "small");
    /// ```
    pub fn order<'j>(&mut self, jobs: &'j [OpenJob]) -> Vec<&'j OpenJob> {
        self.forget_closed(jobs);
        // A team that comes back after a pause has no claim on what it did not use meanwhile.
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

    /// `items` of a job were taken on.
    pub fn note(&mut self, job: &OpenJob, items: u32) {
        self.picks += 1;
        self.picked.insert(job.id.clone(), self.picks);
        let share = f64::from(items) / f64::from(job.weight.max(1));
        *self.served.get_or_insert_with(job.team.clone(), || 0.0) += share;
    }

    fn forget_closed(&mut self, jobs: &[OpenJob]) {
        self.picked.retain(|id, _| jobs.iter().any(|job| job.id == *id));
        self.served.retain(|team, _| jobs.iter().any(|job| job.team == *team));
    }
}

#[cfg(test)]
mod tests;
