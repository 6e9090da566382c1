//! Decisions of a host that has just started, maybe together with all others: when it reads the tables of the store,
//! when it asks for tokens of teams, and how long requests wait for what it does not know yet.

use std::time::Duration;

/// Time after the start by which a host of a large fleet knows which others are alive.
const FLEET_KNOWN_DELAY: Duration = Duration::from_millis(1_500);
/// Maximum time to wait for the first read of the table of hosts.
const MAX_HOST_TABLE_WAIT: Duration = Duration::from_millis(250);
/// Time after a start of all hosts of a large fleet by which statuses of all of them have arrived: hosts of a zone
/// request them from each other twice a second.
const FLEET_MET_DELAY: Duration = Duration::from_millis(600);
/// Time after a start of all hosts by which each of them has read its tables.
const TABLES_READ_DELAY: Duration = Duration::from_secs(2);

/// What a host that has just started knows of its fleet.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StartView {
    /// Time since the start.
    pub uptime: Duration,
    /// Whether the store lists so few hosts that each of them reads all tables itself.
    pub is_small_fleet: bool,
    /// Whether the host has read the table of hosts.
    pub has_read_hosts: bool,
    /// Whether it knows of at least half of the hosts of its zone that they are alive.
    pub knows_zone: bool,
}

impl StartView {
    /// Returns whether the host should read the tables now.
    ///
    /// In a small fleet it should do so at once, since it refuses its callers until it has. In a large one it first
    /// has to know enough hosts to choose a source: otherwise hosts that start at the same time would all read each
    /// table from the store.
    ///
    /// ```
    /// use cuminramp_fleet::StartView;
    /// let view = StartView { is_small_fleet: true, ..StartView::default() };
    /// assert!(view.may_read_tables());
    /// assert!(!StartView::default().may_read_tables());
    /// ```
    pub fn may_read_tables(&self) -> bool {
        let waits_for_hosts = !self.has_read_hosts && self.uptime < MAX_HOST_TABLE_WAIT;
        self.is_small_fleet
            || self.uptime >= FLEET_KNOWN_DELAY
            || (self.knows_zone && !waits_for_hosts)
    }
}

/// What a host knows of the other hosts, for decisions on the rates of teams.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct FleetKnowledge {
    /// Time since the start.
    pub uptime: Duration,
    /// Whether the host has read the table of hosts.
    pub has_read_hosts: bool,
    /// Whether another host is alive.
    pub hears_others: bool,
    /// Whether another host is alive that has been up for long enough to know the token levels of teams.
    pub hears_settled: bool,
    /// Whether the rows that it read were those of all zones. In a large fleet it learns of other zones by statuses.
    pub has_read_all_zones: bool,
}

impl FleetKnowledge {
    /// Returns whether the host can ask for tokens of teams.
    ///
    /// A host that has just started would take itself for the only one, and a team would get its rate from each of
    /// them. If all hosts have just started, they know different parts of the fleet at first and turn to different
    /// owners, each of which would grant a part of the same rate.
    ///
    /// ```
    /// use cuminramp_fleet::FleetKnowledge;
    /// let knowledge = FleetKnowledge { has_read_hosts: true, ..FleetKnowledge::default() };
    /// assert!(!knowledge.allows_tokens());
    /// assert!(FleetKnowledge { has_read_all_zones: true, ..knowledge }.allows_tokens());
    /// ```
    pub fn allows_tokens(&self) -> bool {
        if self.hears_settled || self.uptime >= TABLES_READ_DELAY {
            return self.has_read_hosts || self.hears_others;
        }
        self.has_read_hosts && (self.has_read_all_zones || self.uptime >= FLEET_MET_DELAY)
    }
}

/// Wait of a request at a host that lacks declarations or targets, or knows too few of the other hosts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StartWait {
    /// Time since the start of the host.
    pub uptime: Duration,
    /// Time since the arrival of the request.
    pub waited: Duration,
    /// Maximum time that the request may wait.
    pub max_wait: Duration,
}

impl StartWait {
    /// Returns whether the request should wait for what the host lacks.
    ///
    /// If all hosts started at the same time, no other host can serve the request sooner. Later on the store or the
    /// owners of slots are out of reach, and the caller had better turn to another host at once.
    ///
    /// ```
    /// use std::time::Duration;
    /// use cuminramp_fleet::StartWait;
    /// let max_wait = Duration::from_secs(1);
    /// let wait = StartWait { uptime: Duration::from_millis(300), waited: Duration::ZERO, max_wait };
    /// assert!(wait.should_wait());
    /// assert!(!StartWait { uptime: Duration::from_secs(60), ..wait }.should_wait());
    /// ```
    pub fn should_wait(&self) -> bool {
        self.uptime < TABLES_READ_DELAY && self.waited < self.max_wait
    }
}

#[cfg(test)]
mod tests;
