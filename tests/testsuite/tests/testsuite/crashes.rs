//! Requests and items that kill the targets that run them.

use http::StatusCode;

use crate::support::{Fleet, item_line, item_lines};

const POISON: &str = "CRASH-THE-ENGINE now";

// One request kills each engine that runs it, and its caller sends it again and again through every
// host. Without a bound the whole pool would go down.
#[test]
fn a_request_that_kills_engines_takes_at_most_two() {
    let fleet = Fleet::start(3);

    let answers: Vec<_> =
        (0..9).map(|number| fleet.chat(number % 3, POISON, 4, number % 2 == 0)).collect();

    let crashes: u64 = fleet.engines.iter().map(|engine| engine.stats().crashes).sum();
    assert!(crashes <= 2, "{crashes} engines crashed");
    assert!(answers.iter().all(|answer| answer.status != StatusCode::OK));
    assert_eq!(answers.last().unwrap().code(), 1304);
    assert_eq!(answers.last().unwrap().execution(), "not run");
}

// A poison item kills the engines that run it, with its neighbours in flight. The neighbours have
// done nothing and must be answered.
#[test]
fn a_poison_item_ends_with_its_own_error_and_the_rest_is_done() {
    let fleet = Fleet::start(3);
    let lines = format!("{}\n{}\n", item_lines(60), item_line("poison", POISON));

    let id = fleet.create_job(0, &lines);
    let job = fleet.finished_job(0, &id);

    assert_eq!(fleet.job_lines(0, &job, "output_file_id").len(), 60);
    let errors = fleet.job_lines(0, &job, "error_file_id");
    assert_eq!(errors.len(), 1);
    assert_eq!(errors[0].0, "poison");
    assert_eq!(errors[0].1["error"]["cuminramp_code"], 1601);
}
