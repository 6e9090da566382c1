//! Labels of teams in metrics, bounded in number and length.

use cuminramp_core::{Name, SortedMap};
use cuminramp_fleet::name_hash;

/// Maximum number of teams that metrics list by name. Each of them has a series for each outcome.
const MAX_NAMED_TEAMS: usize = 50;
/// Number of teams whose requests are counted until they are named.
const COUNTED_TEAMS: usize = 1_000;
/// Number of requests below which a team is not named, so that a place isn't taken by whoever comes first.
const MIN_NAMED_REQUESTS: u64 = 10;
/// A team of a fleet with more teams than places is named only if at least one in this number of requests is
/// its own. Equal to the number of counted teams: a team above this share is never without a count for long.
const MIN_NAMED_SHARE: u64 = COUNTED_TEAMS as u64;
/// Maximum length of a label, in characters.
const MAX_LABEL_CHARS: usize = 64;
/// Label of all teams that are not listed by name.
pub(super) const OTHER_TEAMS: &str = "other";
/// Label of requests without a team, as in log lines.
const NO_TEAM: &str = "-";

/// Requests of a team that is not named yet.
#[derive(Clone, Copy, Debug, Default)]
struct RequestCount {
    /// Upper bound of the team's requests.
    requests: u64,
    /// Requests in `requests` that other teams may have sent.
    inherited: u64,
}

/// Chooses the teams that metrics list by name, from all requests.
///
/// Requests are counted by the space-saving algorithm: a team without a count replaces the one with the
/// lowest and continues from its figure, so that any number of teams is counted in bounded memory and teams
/// with many requests keep their counts. A team that was named once stays named, since a series that ends and
/// starts again would look like a restart. Once all places are taken, nothing is counted any more.
#[derive(Debug)]
pub(crate) struct TeamLabels {
    /// Label of each named team.
    named: SortedMap<Name, Name>,
    /// Counts by the hash of the team's name. Two teams with one hash share a count.
    counts: SortedMap<u32, RequestCount>,
    total: u64,
    other: Name,
}

impl Default for TeamLabels {
    fn default() -> Self {
        TeamLabels {
            named: SortedMap::new(),
            counts: SortedMap::new(),
            total: 0,
            other: OTHER_TEAMS.into(),
        }
    }
}

impl TeamLabels {
    /// Counts a request and returns the label of its team.
    pub(crate) fn count_request(&mut self, team: &str) -> Name {
        let team = if team.is_empty() { NO_TEAM } else { team };
        if let Some(label) = self.named.get(team) {
            self.total += 1;
            return label.clone();
        }
        if self.named.len() >= MAX_NAMED_TEAMS {
            return self.other.clone();
        }
        self.total += 1;
        let hash = name_hash(team);
        let count = self.count_of(hash);
        count.requests += 1;
        let own_requests = count.requests - count.inherited;
        if !self.is_large(own_requests) {
            return self.other.clone();
        }
        self.counts.remove(&hash);
        self.named.insert(team.into(), label_of(team));
        label_of(team)
    }

    /// Returns the count of a team, which replaces the lowest one if the team has none.
    fn count_of(&mut self, hash: u32) -> &mut RequestCount {
        let mut inherited = 0;
        if !self.counts.contains_key(&hash) && self.counts.len() >= COUNTED_TEAMS {
            let lowest = self.counts.iter().min_by_key(|(_, count)| count.requests);
            if let Some((lowest, count)) = lowest.map(|(hash, count)| (*hash, *count)) {
                inherited = count.requests;
                self.counts.remove(&lowest);
            }
        }
        self.counts.get_or_insert_with(hash, || RequestCount { requests: inherited, inherited })
    }

    fn is_large(&self, requests: u64) -> bool {
        let has_place_for_all = self.named.len() + self.counts.len() <= MAX_NAMED_TEAMS;
        let has_share = requests >= self.total / MIN_NAMED_SHARE;
        requests >= MIN_NAMED_REQUESTS && (has_place_for_all || has_share)
    }
}

/// Returns the label of a team: its name without line breaks and other control characters, which readers of
/// the text format may not expect in a label, and cut off if it is long.
fn label_of(team: &str) -> Name {
    let is_unsafe =
        |character: char| character.is_control() || (character.is_whitespace() && character != ' ');
    let replace = |character| if is_unsafe(character) { '_' } else { character };
    team.chars().take(MAX_LABEL_CHARS).map(replace).collect::<String>().into()
}

#[cfg(test)]
mod tests;
