//! `cuminramp grant`.

use http::Method;
use serde_json::json;

use crate::connection::{CommandError, OperatorConnection};
use crate::flags::Grant;
use crate::output::print_json;

/// Grants a key and prints it.
pub(crate) async fn execute(
    operator: &OperatorConnection,
    json: bool,
    flags: Grant,
) -> Result<(), CommandError> {
    let body = json!({"team": flags.team, "label": flags.label.unwrap_or_default()});
    let answer = operator.send(Method::POST, "/operator/keys", body.to_string().into()).await?;
    if json {
        print_json(&answer);
    } else {
        println!("{}", answer["key"].as_str().unwrap_or_default());
    }
    Ok(())
}
