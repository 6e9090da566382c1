//! `cuminramp cancel`.

use bytes::Bytes;
use http::Method;

use crate::connection::{CommandError, OperatorConnection};
use crate::flags::Cancel;
use crate::output::print_json;

/// Cancels a job and shows what was done of it.
pub(crate) async fn execute(
    operator: &OperatorConnection,
    flags: &Cancel,
) -> Result<(), CommandError> {
    let path = format!("/operator/jobs/{}/{}/cancel", flags.team, flags.job);
    print_json(&operator.send(Method::POST, &path, Bytes::new()).await?);
    Ok(())
}
