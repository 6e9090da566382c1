//! The command line of `cuminrampd`.
#![allow(missing_docs, unreachable_pub)]

use std::path::PathBuf;

xflags::xflags! {
    /// Serves callers, operators and other daemons on an entry host.
    cmd cuminrampd {
        /// Runs a daemon until SIGTERM or SIGINT, then drains it: requests in flight run to completion.
        cmd run {
            /// Settings in JSON with comments.
            required --settings settings: PathBuf
        }
        /// Serves callers' streams and entire jobs on a host of a shared fleet, until SIGTERM or SIGINT.
        cmd gateway {
            /// Settings in JSON with comments; by default, the file that CUMINRAMP_CONFIG names.
            optional --settings settings: PathBuf
        }
        /// Checks a settings file and prints every error in it.
        cmd check {
            /// Settings in JSON with comments.
            required --settings settings: PathBuf
        }
        /// Runs a complete system in one process, on embedded stand-ins, to try it out.
        cmd quickstart {
            /// Settings in JSON with comments; by default, those of examples/quickstart.jsonc.
            optional --settings settings: PathBuf
        }
    }
}
