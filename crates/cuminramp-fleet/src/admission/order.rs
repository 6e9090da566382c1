//! Order of the waiting requests of a group.

use cuminramp_core::{HostId, SortedMap};
use tokio::time::Instant;

use super::shares::{ShareTable, TeamShare};

/// Identity of a waiting request.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct RequestKey {
    pub(super) request_id: u64,
    pub(super) host: HostId,
}

/// Class of waiting requests; all requests of a lower class go before those of a higher one.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct UrgencyClass {
    pub(super) priority: u8,
    /// Whether the requests can no longer meet their objective.
    pub(super) is_late: bool,
}

/// Sort key of a request among those of its team in its class.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct TeamPosition {
    pub(super) is_first_attempt: bool,
    /// The latest start with which the request meets its objective; for late requests the deadline.
    pub(super) due: Instant,
    pub(super) key: RequestKey,
}

/// Place of a request, queued or not, among all waiting requests.
#[derive(Debug)]
pub(super) struct QueuePlace {
    pub(super) class: UrgencyClass,
    /// Share of the request's team.
    pub(super) share: TeamShare,
    /// Number of requests of the same team and class that go before the request.
    pub(super) rank: usize,
    pub(super) position: TeamPosition,
}

impl QueuePlace {
    /// Returns the relative usage that the team has when the request is the team's next one.
    pub(super) fn relative_usage(&self) -> f64 {
        self.share.relative_usage_after(self.rank, !self.position.is_first_attempt)
    }
}

/// Waiting requests of one class, by team. The requests of a team are in the order in which they get slots.
#[derive(Debug, Default)]
struct ClassOrder {
    teams: SortedMap<u32, Vec<TeamPosition>>,
    /// Number of requests of all teams.
    len: usize,
}

impl ClassOrder {
    /// Returns the teams in ascending order, each with its share and its requests.
    fn teams(&self, shares: &ShareTable, now: Instant) -> impl Iterator<Item = TeamRequests<'_>> {
        let shares = shares.shares_of(self.teams.keys().copied(), now);
        shares.zip(self.teams.values()).map(|(share, positions)| TeamRequests { share, positions })
    }
}

/// Share and waiting requests of one team in one class.
#[derive(Clone, Copy, Debug)]
struct TeamRequests<'a> {
    share: TeamShare,
    positions: &'a [TeamPosition],
}

impl TeamRequests<'_> {
    /// Returns the relative usage that the team has when the request with this index is its next one.
    fn relative_usage_at(&self, index: usize) -> f64 {
        let is_retry = self.positions.get(index).is_some_and(|request| !request.is_first_attempt);
        self.share.relative_usage_after(index, is_retry)
    }

    /// Returns the number of the team's requests that go before a request of another team with this relative
    /// usage and due time.
    fn count_before(&self, relative_usage: f64, due: Instant) -> usize {
        // The request with index k goes first if the team's relative usage after k grants is lower, or equal
        // and the request is due no later.
        let goes_before = |(index, other): &(usize, &TeamPosition)| {
            let other_usage = self.share.relative_usage_after(*index, !other.is_first_attempt);
            other_usage < relative_usage || (other_usage == relative_usage && other.due <= due)
        };
        let retries = self.positions.partition_point(|other| !other.is_first_attempt);
        let lower = |is_retry| self.share.grants_until(relative_usage, is_retry).max(0.0) as usize;
        // The requests below this index are at a lower relative usage, so they are counted without a
        // comparison.
        let certain =
            if relative_usage > 0.0 { lower(false).max(lower(true).min(retries)) } else { 0 };
        let certain = certain.min(self.positions.len());
        let others = self.positions.iter().enumerate().skip(certain);
        certain + others.take_while(goes_before).count()
    }
}

/// Order in which all waiting requests of a group get slots.
#[derive(Debug, Default)]
pub(super) struct RequestOrder {
    classes: SortedMap<UrgencyClass, ClassOrder>,
}

impl RequestOrder {
    /// Adds a request of a team.
    pub(super) fn insert(&mut self, class: UrgencyClass, team: u32, position: TeamPosition) {
        let order = self.classes.get_or_insert_with(class, ClassOrder::default);
        let positions = order.teams.get_or_insert_with(team, Vec::new);
        let index = positions.partition_point(|other| *other < position);
        positions.insert(index, position);
        order.len += 1;
    }

    /// Removes a request of a team.
    pub(super) fn remove(&mut self, class: UrgencyClass, team: u32, position: &TeamPosition) {
        let Some(order) = self.classes.get_mut(&class) else { return };
        let Some(positions) = order.teams.get_mut(&team) else { return };
        let Ok(index) = positions.binary_search(position) else { return };
        positions.remove(index);
        order.len -= 1;
        if positions.is_empty() {
            order.teams.remove(&team);
        }
        if order.len == 0 {
            self.classes.remove(&class);
        }
    }

    /// Returns the place of a request of the team with this share.
    pub(super) fn place(
        &self,
        class: UrgencyClass,
        share: TeamShare,
        position: TeamPosition,
    ) -> QueuePlace {
        let positions = self.classes.get(&class).and_then(|order| order.teams.get(&share.team));
        let rank = positions.map_or(0, |all| all.partition_point(|other| *other < position));
        QueuePlace { class, share, rank, position }
    }

    /// Returns the number of requests that go before a request at this place.
    pub(super) fn count_before(
        &self,
        place: &QueuePlace,
        shares: &ShareTable,
        now: Instant,
    ) -> usize {
        let lower = self.classes.iter().take_while(|(class, _)| **class < place.class);
        let before = place.rank + lower.map(|(_, order)| order.len).sum::<usize>();
        let Some(order) = self.classes.get(&place.class) else { return before };
        let relative_usage = place.relative_usage();
        let other_teams =
            order.teams(shares, now).filter(|other| other.share.team != place.share.team);
        let of_others =
            other_teams.map(|other| other.count_before(relative_usage, place.position.due));
        before + of_others.sum::<usize>()
    }

    /// Returns the last request of all if a request at this place goes before it.
    pub(super) fn last_after(
        &self,
        place: &QueuePlace,
        shares: &ShareTable,
        now: Instant,
    ) -> Option<&TeamPosition> {
        let (last_class, order) = self.classes.iter().next_back()?;
        let last_of_teams = order
            .teams(shares, now)
            .map(|team| (team.relative_usage_at(team.positions.len().saturating_sub(1)), team));
        let (last_usage, team) = last_of_teams.max_by(|one, other| one.0.total_cmp(&other.0))?;
        let is_before = (place.class, place.relative_usage()) < (*last_class, last_usage);
        team.positions.last().filter(|_| is_before)
    }

    /// Returns the requests in the order in which they are offered the next slot: by class, then by the relative
    /// usage of their teams and the due time of each team's first request. The requests of one team follow
    /// each other.
    pub(super) fn iter<'a>(
        &'a self,
        shares: &'a ShareTable,
        now: Instant,
    ) -> impl Iterator<Item = &'a TeamPosition> {
        self.classes.values().flat_map(move |order| {
            let teams = order.teams(shares, now);
            let mut teams: Vec<(f64, &[TeamPosition])> =
                teams.map(|team| (team.relative_usage_at(0), team.positions)).collect();
            teams.sort_unstable_by(|(one, one_positions), (other, other_positions)| {
                let due = |positions: &[TeamPosition]| positions.first().map(|first| first.due);
                one.total_cmp(other).then_with(|| due(one_positions).cmp(&due(other_positions)))
            });
            teams.into_iter().flat_map(|(_, positions)| positions)
        })
    }

    /// Returns the late requests of the most urgent priority of the team with the lowest relative usage.
    /// Returns `None` if no request that can be in time goes before them, or if the team is not below half of
    /// its share.
    pub(super) fn late_below_half_share(
        &self,
        shares: &ShareTable,
        now: Instant,
    ) -> Option<&[TeamPosition]> {
        let (first, _) = self.classes.iter().next()?;
        if first.is_late {
            return None;
        }
        let late = self.classes.get(&UrgencyClass { is_late: true, ..*first })?;
        let teams =
            late.teams(shares, now).map(|team| (team.share.relative_usage_after(0, false), team));
        let (lowest, team) = teams.min_by(|one, other| one.0.total_cmp(&other.0))?;
        (lowest < shares.mean_relative_usage(now) / 2.0).then_some(team.positions)
    }

    /// Returns the number of teams that have a waiting request.
    pub(super) fn team_count(&self) -> usize {
        let mut teams: Vec<u32> =
            self.classes.values().flat_map(|order| order.teams.keys().copied()).collect();
        teams.sort_unstable();
        teams.dedup();
        teams.len()
    }
}
