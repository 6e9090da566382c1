//! The command line of `cuminrampd`.
#![allow(missing_docs, unreachable_pub)]

use std::path::PathBuf;

xflags::xflags! {
    /// Serves callers, operators and other daemons on an entry host.
    cmd cuminrampd {
        /// Runs until SIGTERM or SIGINT, then leaves: what is in flight ends whole.
        cmd run {
            /// Settings in JSON with comments.
            required --settings settings: PathBuf
        }
        /// Serves callers' streams and whole jobs on a host of a shared fleet, until SIGTERM.
        cmd gateway {
            /// Settings in JSON with comments; without, the file that CUMINRAMP_CONFIG names.
            optional --settings settings: PathBuf
        }
        /// Checks settings and says everything that is wrong with them.
        cmd check {
            /// Settings in JSON with comments.
            required --settings settings: PathBuf
        }
        /// Runs a whole system in one process, on embedded stand-ins, to try it out.
        cmd quickstart {
            /// Settings in JSON with comments; without, those of examples/quickstart.jsonc.
            optional --settings settings: PathBuf
        }
    }
}
