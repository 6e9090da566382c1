//! Calls to daemons.

use std::fmt;
use std::process::ExitCode;
use std::time::Duration;

use bytes::Bytes;
use cuminramp_http::{CallLimits, HttpClient, read_body};
use http::header::{AUTHORIZATION, CONTENT_TYPE};
use http::{Method, Request, StatusCode};
use http_body_util::Full;
use serde_json::Value;

/// How long an operator's call may take.
const CALL_LIMIT: Duration = Duration::from_secs(30);
/// The largest answer that is read.
const MOST_ANSWER_BYTES: usize = 256 << 20;
/// The operator address where none is given.
const DEFAULT_OPERATOR: &str = "127.0.0.1:8081";
/// The variable that holds the token where none is given.
const TOKEN_VARIABLE: &str = "CUMINRAMP_TOKEN";

/// Why a command failed.
#[derive(Debug)]
pub(crate) enum CommandError {
    /// The input is wrong.
    Input(String),
    /// Another change came first.
    Conflict(String),
    /// The daemon can't be reached or has no table.
    Unreachable(String),
    /// Anything else.
    Failed(String),
}

impl CommandError {
    /// The exit status.
    pub(crate) fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            CommandError::Failed(_) => 1,
            CommandError::Input(_) => 2,
            CommandError::Conflict(_) => 3,
            CommandError::Unreachable(_) => 4,
        })
    }
}

impl fmt::Display for CommandError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CommandError::Input(reason)
            | CommandError::Conflict(reason)
            | CommandError::Unreachable(reason)
            | CommandError::Failed(reason) => formatter.write_str(reason),
        }
    }
}

impl std::error::Error for CommandError {}

/// A daemon's operator interface.
pub(crate) struct OperatorConnection {
    client: HttpClient,
    address: String,
    token: String,
}

impl OperatorConnection {
    /// A connection to the daemon that was named, or the usual one.
    pub(crate) fn new(address: Option<String>, token: Option<String>) -> Self {
        let limits = CallLimits { connect: CALL_LIMIT, first_byte: CALL_LIMIT };
        OperatorConnection {
            client: HttpClient::new(limits),
            address: address.unwrap_or_else(|| DEFAULT_OPERATOR.into()),
            token: token.or_else(|| std::env::var(TOKEN_VARIABLE).ok()).unwrap_or_default(),
        }
    }

    /// Reads something.
    pub(crate) async fn get(&self, path: &str) -> Result<Value, CommandError> {
        self.send(Method::GET, path, Bytes::new()).await
    }

    /// Reads something that is not JSON.
    pub(crate) async fn get_text(&self, path: &str) -> Result<String, CommandError> {
        let answer = self.call(Method::GET, path, Bytes::new()).await?;
        Ok(String::from_utf8_lossy(&answer.body).into_owned())
    }

    /// Calls and reads the answer; a refusal is an error that names its code and every reason.
    pub(crate) async fn send(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Value, CommandError> {
        let answer = self.call(method, path, body).await?;
        let value = serde_json::from_slice(&answer.body).unwrap_or(Value::Null);
        if answer.status.is_success() { Ok(value) } else { Err(to_error(answer.status, &value)) }
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<OperatorAnswer, CommandError> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header(AUTHORIZATION, format!("Bearer {}", self.token))
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|error| CommandError::Input(error.to_string()))?;
        let unreachable =
            |reason: String| CommandError::Unreachable(format!("{}: {reason}", self.address));
        let response =
            self.client.send(request).await.map_err(|error| unreachable(error.to_string()))?;
        let status = response.status();
        let body = read_body(response.into_body(), MOST_ANSWER_BYTES, CALL_LIMIT)
            .await
            .map_err(|error| unreachable(error.to_string()))?;
        Ok(OperatorAnswer { status, body })
    }
}

/// An answer as it came.
struct OperatorAnswer {
    status: StatusCode,
    body: Bytes,
}

fn to_error(status: StatusCode, body: &Value) -> CommandError {
    let code = body["error"]["cuminramp_code"].as_u64().unwrap_or_default();
    let name = body["error"]["code"].as_str().unwrap_or("Unknown");
    let message = body["error"]["message"].as_str().unwrap_or("no reason was given");
    let mut text = format!("{code} {name}: {message}");
    for fault in body["details"]["faults"].as_array().into_iter().flatten() {
        let place = fault["place"].as_str().unwrap_or_default();
        let reason = fault["reason"].as_str().unwrap_or_default();
        text.push_str(&format!("\n  {place}: {reason}"));
    }
    for change in body["details"]["difference"].as_array().into_iter().flatten() {
        let field = |name: &str| change[name].as_str().unwrap_or_default().to_owned();
        text.push_str(&format!(
            "\n  would {} {} {}",
            field("change"),
            field("table"),
            field("name")
        ));
    }
    match status {
        StatusCode::CONFLICT => CommandError::Conflict(text),
        StatusCode::SERVICE_UNAVAILABLE => CommandError::Unreachable(text),
        status if status.is_client_error() => CommandError::Input(text),
        _ => CommandError::Failed(text),
    }
}
