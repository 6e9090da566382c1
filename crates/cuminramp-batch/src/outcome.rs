//! An item's result and its line in the output or error file.

use cuminramp_core::Refusal;
use serde_json::{Value, json};

/// Outcome of an item.
#[derive(Clone, Debug, PartialEq)]
pub enum ItemOutcome {
    /// A target returned a response.
    Answered {
        /// HTTP status of the response.
        status: u16,
        /// Body of the response.
        body: Value,
    },
    /// The item ended without a response, with this error.
    Failed(Refusal),
}

impl ItemOutcome {
    /// Returns whether the outcome is a response with a 2xx status, which goes to the output file;
    /// every other outcome goes to the error file.
    pub fn is_success(&self) -> bool {
        matches!(self, ItemOutcome::Answered { status, .. } if (200..300).contains(status))
    }

    /// Returns the outcome as a JSON line in the format of the OpenAI batch API.
    ///
    /// ```
    /// use cuminramp_batch::ItemOutcome;
    /// let outcome = ItemOutcome::Answered { status: 200, body: serde_json::json!({}) };
    /// assert!(outcome.to_line("job", "item").contains("\"custom_id\":\"item\""));
    /// ```
    pub fn to_line(&self, job: &str, custom_id: &str) -> String {
        let id = format!("batch_req_{job}_{custom_id}");
        let line = match self {
            ItemOutcome::Answered { status, body } => json!({
                "id": id,
                "custom_id": custom_id,
                "response": {"status_code": status, "request_id": id, "body": body},
                "error": null,
            }),
            ItemOutcome::Failed(refusal) => json!({
                "id": id,
                "custom_id": custom_id,
                "response": null,
                "error": {
                    "code": refusal.code.name(),
                    "cuminramp_code": refusal.code.number(),
                    "execution": refusal.execution.as_str(),
                    "message": refusal.message,
                },
            }),
        };
        line.to_string()
    }
}
