//! `cuminramp keys`.

use http::Method;
use serde_json::json;

use crate::connection::{CommandError, OperatorConnection};
use crate::flags::{Keys, KeysCmd};
use crate::output::{print_json, print_rows};

/// Grants, lists and withdraws keys.
pub(crate) async fn execute(
    operator: &OperatorConnection,
    json: bool,
    flags: Keys,
) -> Result<(), CommandError> {
    match flags.subcommand {
        KeysCmd::Grant(flags) => {
            let body = json!({"team": flags.team, "label": flags.label.unwrap_or_default()});
            let body = body.to_string().into();
            let answer = operator.send(Method::POST, "/operator/keys", body).await?;
            if json {
                print_json(&answer);
            } else {
                println!("{}", answer["key"].as_str().unwrap_or_default());
            }
        }
        KeysCmd::List(_) => {
            let answer = operator.get("/operator/keys").await?;
            print_rows(json, &answer, &answer["keys"], &["digest", "team", "label", "withdrawn"]);
        }
        KeysCmd::Withdraw(flags) => {
            let path = format!("/operator/keys/{}", flags.key);
            let answer = operator.send(Method::DELETE, &path, Default::default()).await?;
            if json {
                print_json(&answer);
            } else if answer["written"].as_bool().unwrap_or_default() {
                println!("withdrawn in generation {}", answer["generation"]);
            } else {
                println!("withdrawn on the live hosts; the table is down and will be told later");
            }
        }
    }
    Ok(())
}
