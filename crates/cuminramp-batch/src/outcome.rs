//! The line that a caller reads for an item.

use cuminramp_core::Refusal;
use serde_json::{Value, json};

/// How an item ended.
#[derive(Clone, Debug, PartialEq)]
pub enum ItemOutcome {
    /// With an answer.
    Answered {
        /// Status of the target's answer.
        status: u16,
        /// Its body.
        body: Value,
    },
    /// With an error of its own.
    Failed(Refusal),
}

impl ItemOutcome {
    /// Whether it belongs in the output file, and not in the error file.
    pub fn is_success(&self) -> bool {
        matches!(self, ItemOutcome::Answered { status, .. } if (200..300).contains(status))
    }

    /// The JSON line, in the shape that OpenAI clients read.
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
