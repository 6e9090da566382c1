//! `cuminramp grant`.

use http::Method;
use serde_json::json;

use crate::connection::{CommandError, OperatorClient};
use crate::flags::Grant;
use crate::output::print_json;

/// Grants a key and prints it.
pub(crate) async fn execute(
    operator: &OperatorClient,
    json: bool,
    flags: Grant,
) -> Result<(), CommandError> {
    let body = json!({"team": flags.team, "label": flags.label.unwrap_or_default()});
    let response = operator.send(Method::POST, "/operator/keys", body.to_string().into()).await?;
    if json {
        print_json(&response);
    } else {
        println!("{}", response["key"].as_str().unwrap_or_default());
    }
    Ok(())
}
