//! Passes a target's answer on.

use cuminramp_core::Refusal;
use cuminramp_targets::FailureStage;
use http::Response;
use http_body_util::{BodyExt, Full, Limited};

use super::RequestOutcome;
use super::serve::RequestPass;
use super::stream::stream_body;
use crate::entry::AnswerBody;
use crate::targets::TargetAnswer;

/// The largest answer that is held whole.
const MOST_ANSWER_BYTES: usize = 8 << 20;

fn response_head(pass: &RequestPass, answer: &TargetAnswer) -> Response<()> {
    let mut response = Response::new(());
    *response.status_mut() = answer.parts.status;
    *response.headers_mut() = pass.state.calls.answer_headers(&answer.parts);
    response
}

/// Passes a stream on as its events come.
pub(crate) fn relay_stream(pass: RequestPass, answer: TargetAnswer) -> Response<AnswerBody> {
    let head = response_head(&pass, &answer);
    head.map(|()| AnswerBody::Stream(stream_body(pass, answer)))
}

/// Holds an answer until it is whole, so that one that breaks off never looks complete, and another
/// target can be asked where the request allows it.
pub(crate) async fn relay_whole(
    mut pass: RequestPass,
    mut answer: TargetAnswer,
) -> Result<Response<AnswerBody>, Refusal> {
    loop {
        let deadline = pass.deadline();
        let head = response_head(&pass, &answer);
        let body = Limited::new(answer.body, MOST_ANSWER_BYTES).collect();
        let failure = match tokio::time::timeout_at(deadline, body).await {
            Ok(Ok(_)) if answer.parts.status.is_server_error() && pass.may_run_again() => {
                format!("the target answered {}", answer.parts.status)
            }
            Ok(Ok(body)) => {
                let is_failed = answer.parts.status.is_server_error();
                if !is_failed {
                    pass.note_whole();
                }
                answer.run.end_whole(answer.head.keep_alive);
                let outcome =
                    if is_failed { RequestOutcome::TargetFailed } else { RequestOutcome::Answered };
                pass.record.end(outcome);
                return Ok(head.map(|()| AnswerBody::Whole(Full::new(body.to_bytes()))));
            }
            Ok(Err(error)) => {
                pass.note_crash();
                error.to_string()
            }
            Err(_) => "answer not whole in time".to_owned(),
        };
        answer.run.end_failed();
        let next = match pass.decide(FailureStage::Sent, "broken-answer", &failure) {
            Ok(()) => pass.find_answer().await,
            Err(refusal) => Err(refusal),
        };
        answer = match next {
            Ok(answer) if pass.is_stream() && answer.parts.status.is_success() => {
                return Ok(relay_stream(pass, answer));
            }
            Ok(answer) => answer,
            Err(refusal) => {
                pass.record.end_refused(&refusal);
                return Err(refusal);
            }
        };
    }
}
