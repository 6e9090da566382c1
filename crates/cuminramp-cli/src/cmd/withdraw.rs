//! `cuminramp withdraw`.

use bytes::Bytes;
use http::Method;

use crate::connection::{CommandError, OperatorClient};
use crate::flags::Withdraw;
use crate::output::print_json;

/// Withdraws a key and prints whether the withdrawal is stored in the table yet.
pub(crate) async fn execute(
    operator: &OperatorClient,
    json: bool,
    flags: Withdraw,
) -> Result<(), CommandError> {
    let path = format!("/operator/keys/{}", flags.key);
    let response = operator.send(Method::DELETE, &path, Bytes::new()).await?;
    if json {
        print_json(&response);
    } else if response["written"].as_bool().unwrap_or_default() {
        println!("withdrawn in generation {}", response["generation"]);
    } else {
        println!("withdrawn on the live hosts; the table is unreachable and will be updated later");
    }
    Ok(())
}
