//! Batch jobs: chunks, their leases and their commits.
