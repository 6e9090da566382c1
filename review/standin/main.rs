//! Stand-ins for the platform's store and for engines, and the scripts of the cases. Uses the standard library only.
//!
//! `standin CASE GATEWAY RECORD` starts gateways as processes, submits batch jobs, and checks what becomes of them. With
//! `TROUBLE=0` it leaves the case's disruption out.

mod case;
mod engine;
mod fleet;
mod http;
mod json;
mod store;

use std::process::exit;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, name, gateway, record] = &args[..] else {
        eprintln!("usage: standin CASE GATEWAY RECORD");
        exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let outcome = case::run(name, gateway, record, has_trouble);
    match outcome {
        Ok(true) => exit(0),
        Ok(false) => exit(1),
        Err(reason) => {
            eprintln!("the case could not run: {reason}");
            exit(2);
        }
    }
}
