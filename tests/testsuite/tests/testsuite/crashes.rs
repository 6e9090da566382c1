//! Poison requests and poison items, which crash the targets that run them.

use http::StatusCode;

use serde_json::json;

use crate::support::{Fleet, FleetPlan, chat_body, item_line, item_lines};

const POISON: &str = "CRASH-THE-ENGINE now";

// A poison request crashes each engine that runs it, and its caller retries it through every host. Without
// a bound on its crashes, the whole pool would go down.
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

// A poison item crashes the engines that run it while other items are in flight there, and the settings bound its
// crashes. The other items must still be completed.
#[test]
fn a_poison_item_gets_its_own_error_and_the_other_items_are_completed() {
    let fleet = Fleet::start_plan(FleetPlan { item_crashes: 2, ..FleetPlan::default() });
    let lines = format!("{}\n{}\n", item_lines(60), item_line("poison", POISON));

    let id = fleet.create_job(0, &lines);
    let job = fleet.finished_job(0, &id);

    assert_eq!(fleet.job_lines(0, &job, "output_file_id").len(), 60);
    let errors = fleet.job_lines(0, &job, "error_file_id");
    assert_eq!(errors.len(), 1);
    assert_eq!(errors[0].0, "poison");
    assert_eq!(errors[0].1["error"]["cuminramp_code"], 1601);
}

// Engines crash again and again while they run a sound item alone. It must be completed all the same: an item that is
// handed in for later never crashes engines by itself.
#[test]
fn an_item_under_which_engines_crashed_is_completed() {
    let fleet = Fleet::start(1);
    let body =
        serde_json::from_str::<serde_json::Value>(&chat_body("sound", 1_500, false)).unwrap();
    let line = json!({
        "custom_id": "sound", "method": "POST", "url": "/v1/chat/completions", "body": body,
    });
    let runs = |fleet: &Fleet| -> u32 {
        fleet.engines.iter().flat_map(|engine| engine.runs()).map(|(_, count)| count).sum()
    };

    let id = fleet.create_job(0, &format!("{line}\n"));
    for crash in 1..=4 {
        fleet.wait("the item runs", |fleet| runs(fleet) >= crash);
        fleet.engines.iter().for_each(|engine| engine.crash());
    }
    let job = fleet.finished_job(0, &id);

    assert_eq!(fleet.job_lines(0, &job, "output_file_id").len(), 1, "{job}");
}
