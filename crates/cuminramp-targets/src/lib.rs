//! Choice of target, ejection, retries, and the windows of batch.
