//! `cuminramp cancel`.

use bytes::Bytes;
use http::Method;

use crate::connection::{CommandError, OperatorClient};
use crate::flags::Cancel;
use crate::output::print_json;

/// Cancels a job and prints its state, including how many requests were completed.
pub(crate) async fn execute(operator: &OperatorClient, flags: &Cancel) -> Result<(), CommandError> {
    let path = format!("/operator/jobs/{}/{}/cancel", flags.team, flags.job);
    print_json(&operator.send(Method::POST, &path, Bytes::new()).await?);
    Ok(())
}
