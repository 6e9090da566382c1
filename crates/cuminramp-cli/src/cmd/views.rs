//! Subcommands that only look.

use crate::connection::{CommandError, OperatorConnection};
use crate::output::{print_json, print_rows};

/// Shows the declarations in force, as a file that can be edited and applied.
pub(crate) async fn show(operator: &OperatorConnection) -> Result<(), CommandError> {
    let answer = operator.get("/operator/declarations").await?;
    println!("// generation {}", answer["generation"]);
    print_json(&answer["declarations"]);
    Ok(())
}

/// Shows which hosts have which generation in force.
pub(crate) async fn generations(
    operator: &OperatorConnection,
    json: bool,
) -> Result<(), CommandError> {
    let answer = operator.get("/operator/generations").await?;
    print_rows(json, &answer, &answer["hosts"], &["host", "generation"]);
    Ok(())
}

/// Shows hosts.
pub(crate) async fn hosts(operator: &OperatorConnection, json: bool) -> Result<(), CommandError> {
    let answer = operator.get("/operator/hosts").await?;
    let columns =
        ["address", "caller-address", "availability-zone", "status", "listed", "incarnation"];
    print_rows(json, &answer, &answer["hosts"], &columns);
    Ok(())
}

/// Shows targets.
pub(crate) async fn targets(operator: &OperatorConnection, json: bool) -> Result<(), CommandError> {
    let answer = operator.get("/operator/targets").await?;
    let columns = [
        "pool",
        "target",
        "address",
        "availability-zone",
        "leaving",
        "set-aside",
        "online-here",
        "batch-here",
        "reported",
        "report-age-ms",
    ];
    print_rows(json, &answer, &answer["targets"], &columns);
    Ok(())
}

/// Shows teams.
pub(crate) async fn teams(operator: &OperatorConnection, json: bool) -> Result<(), CommandError> {
    let answer = operator.get("/operator/teams").await?;
    print_rows(json, &answer, &answer["teams"], &["team", "rate", "burst", "weight", "owners"]);
    Ok(())
}

/// Lists keys.
pub(crate) async fn keys(operator: &OperatorConnection, json: bool) -> Result<(), CommandError> {
    let answer = operator.get("/operator/keys").await?;
    print_rows(json, &answer, &answer["keys"], &["digest", "team", "label", "withdrawn"]);
    Ok(())
}

/// Lists open jobs.
pub(crate) async fn jobs(operator: &OperatorConnection, json: bool) -> Result<(), CommandError> {
    let answer = operator.get("/operator/jobs").await?;
    print_rows(json, &answer, &answer["jobs"], &["id", "team", "status", "request_counts"]);
    Ok(())
}
