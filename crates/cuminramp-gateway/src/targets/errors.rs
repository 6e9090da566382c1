//! Errors of connections to targets.

use std::error::Error;
use std::io;

/// Returns the text of an error and of the errors that caused it. The text of an HTTP error alone doesn't tell
/// a reset connection from one that the kernel gave up.
pub(crate) fn describe_error(error: &(dyn Error + 'static)) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        source = cause.source();
    }
    text
}

/// Returns whether an error says that the network path to a target is cut, or that its machine does not respond. A
/// target that crashes has its connections reset or closed instead.
pub(crate) fn is_path_cut(error: &(dyn Error + 'static)) -> bool {
    let mut next = Some(error);
    while let Some(error) = next {
        next = error.source();
        let Some(error) = error.downcast_ref::<io::Error>() else { continue };
        use io::ErrorKind::{HostUnreachable, NetworkUnreachable, TimedOut};
        if matches!(error.kind(), HostUnreachable | NetworkUnreachable | TimedOut) {
            return true;
        }
        // The source of an I/O error that wraps another error is that error's source.
        if let Some(inner) = error.get_ref() {
            next = Some(inner);
        }
    }
    false
}

#[cfg(test)]
mod tests;
