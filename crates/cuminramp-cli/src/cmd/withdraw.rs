//! `cuminramp withdraw`.

use bytes::Bytes;
use http::Method;

use crate::connection::{CommandError, OperatorConnection};
use crate::flags::Withdraw;
use crate::output::print_json;

/// Withdraws a key and says how far that has come.
pub(crate) async fn execute(
    operator: &OperatorConnection,
    json: bool,
    flags: Withdraw,
) -> Result<(), CommandError> {
    let path = format!("/operator/keys/{}", flags.key);
    let answer = operator.send(Method::DELETE, &path, Bytes::new()).await?;
    if json {
        print_json(&answer);
    } else if answer["written"].as_bool().unwrap_or_default() {
        println!("withdrawn in generation {}", answer["generation"]);
    } else {
        println!("withdrawn on the live hosts; the table is down and will be told later");
    }
    Ok(())
}
