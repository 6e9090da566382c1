//! Stand-ins for the platform's store and for engines, and the script of case 1. Uses the standard library only.
//!
//! `standin majority-lost GATEWAY RECORD` starts five gateways as processes, submits batch jobs, kills three of the
//! gateways for good (unless `TROUBLE=0`), and reads the jobs at the others.

mod case;
mod engine;
mod http;
mod json;
mod store;

use std::process::exit;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, name, gateway, record] = &args[..] else {
        eprintln!("usage: standin majority-lost GATEWAY RECORD");
        exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let outcome = match name.as_str() {
        "majority-lost" => case::majority_lost(gateway, record, has_trouble),
        _ => Err(format!("no case {name}")),
    };
    match outcome {
        Ok(true) => exit(0),
        Ok(false) => exit(1),
        Err(reason) => {
            eprintln!("the case could not run: {reason}");
            exit(2);
        }
    }
}
