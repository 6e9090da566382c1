//! Runs one case of the review: starts a small deployment, plays the case with or without its disruption, and writes
//! what was sent, answered and run.
//!
//! Exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not run.

mod cases;
mod client;
mod engine;
mod fleet;
mod http;
mod json;
mod lost_majority;
mod refused_jobs;
mod store;

use std::process::ExitCode;

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(record)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: drill CASE RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let played = match case.as_str() {
        "late-in-drain" => cases::late_in_drain(has_trouble),
        "answer-in-drain" => cases::answer_in_drain(has_trouble),
        "refused-jobs" => refused_jobs::play(has_trouble),
        "lost-majority" => lost_majority::play(has_trouble),
        "same-hash" => cases::same_hash(has_trouble),
        _ => Err(std::io::Error::other("no such case")),
    };
    match played {
        Ok((is_broken, text)) => {
            print!("{text}");
            if std::fs::write(record, text).is_err() {
                return ExitCode::from(2);
            }
            ExitCode::from(u8::from(is_broken))
        }
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}
