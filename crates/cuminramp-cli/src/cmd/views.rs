//! Read-only subcommands: each shows one endpoint of the operator API.

use crate::connection::{CommandError, OperatorClient};
use crate::output::{print_json, print_rows};

/// Prints the declarations in force in the format that `cuminramp apply` reads.
pub(crate) async fn show(operator: &OperatorClient) -> Result<(), CommandError> {
    let response = operator.get("/operator/declarations").await?;
    println!("// generation {}", response["generation"]);
    print_json(&response["declarations"]);
    Ok(())
}

/// Lists hosts with the generation that each has in force.
pub(crate) async fn generations(operator: &OperatorClient, json: bool) -> Result<(), CommandError> {
    let response = operator.get("/operator/generations").await?;
    print_rows(json, &response, &response["hosts"], &["host", "generation"]);
    Ok(())
}

/// Lists hosts.
pub(crate) async fn hosts(operator: &OperatorClient, json: bool) -> Result<(), CommandError> {
    let response = operator.get("/operator/hosts").await?;
    let columns =
        ["address", "caller-address", "availability-zone", "status", "listed", "incarnation"];
    print_rows(json, &response, &response["hosts"], &columns);
    Ok(())
}

/// Lists targets and their load.
pub(crate) async fn targets(operator: &OperatorClient, json: bool) -> Result<(), CommandError> {
    let response = operator.get("/operator/targets").await?;
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
    print_rows(json, &response, &response["targets"], &columns);
    Ok(())
}

/// Lists teams and the hosts that own their rate.
pub(crate) async fn teams(operator: &OperatorClient, json: bool) -> Result<(), CommandError> {
    let response = operator.get("/operator/teams").await?;
    print_rows(json, &response, &response["teams"], &["team", "rate", "burst", "weight", "owners"]);
    Ok(())
}

/// Lists keys.
pub(crate) async fn keys(operator: &OperatorClient, json: bool) -> Result<(), CommandError> {
    let response = operator.get("/operator/keys").await?;
    print_rows(json, &response, &response["keys"], &["digest", "team", "label", "withdrawn"]);
    Ok(())
}

/// Lists open jobs.
pub(crate) async fn jobs(operator: &OperatorClient, json: bool) -> Result<(), CommandError> {
    let response = operator.get("/operator/jobs").await?;
    print_rows(json, &response, &response["jobs"], &["id", "team", "status", "request_counts"]);
    Ok(())
}
