//! Weights of teams in the shares of crowded groups.

use cuminramp_core::{Name, SortedMap};

use crate::declarations::FleetDeclarations;

/// Weights that operators set for teams, by team.
#[derive(Clone, Debug, Default)]
pub struct TeamWeights {
    configured: SortedMap<Name, f64>,
}

impl TeamWeights {
    /// Creates the table of the weights that are set by name.
    pub fn new(configured: Vec<(Name, f64)>) -> Self {
        TeamWeights { configured: configured.into_iter().collect() }
    }

    /// Returns the weight of a team's share, in thousandths: the weight that is set for the team, else its
    /// declared rate, else the mean rate of the teams that declare one, else 1.
    ///
    /// ```
    /// use cuminramp_fleet::{FleetDeclarations, TeamWeights};
    /// let weights = TeamWeights::new(vec![("parish".into(), 2.5)]);
    /// let declarations = FleetDeclarations::default();
    /// assert_eq!(weights.weight_milli(Some(&"parish".into()), &declarations), 2_500);
    /// assert_eq!(weights.weight_milli(None, &declarations), 1_000);
    /// ```
    pub fn weight_milli(&self, team: Option<&Name>, declarations: &FleetDeclarations) -> u32 {
        let configured = team.and_then(|team| self.configured.get(team)).copied();
        let declared = || declarations.team(team?).and_then(|rule| rule.limited_rate());
        let weight = configured.or_else(declared).or(declarations.mean_team_rate()).unwrap_or(1.0);
        // The cast saturates. A weight of 0 would never get a share.
        ((weight * 1_000.0).round() as u32).max(1)
    }
}

#[cfg(test)]
mod tests;
