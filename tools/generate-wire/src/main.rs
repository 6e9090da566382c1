//! Generates `crates/cuminramp-wire/src/generated` from the `.proto` files in
//! `crates/cuminramp-wire/proto`.
//!
//! Run it from the root of the repository after a change to a `.proto` file, and commit the
//! generated code.

use std::path::Path;

const PROTO_DIR: &str = "crates/cuminramp-wire/proto";
const OUT_DIR: &str = "crates/cuminramp-wire/src/generated";

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let files = ["fleet.proto", "peer.proto", "rows.proto"];
    let descriptors = protox::compile(files, [PROTO_DIR])?;
    std::fs::create_dir_all(OUT_DIR)?;
    prost_build::Config::new().out_dir(Path::new(OUT_DIR)).compile_fds(descriptors)?;
    Ok(())
}
