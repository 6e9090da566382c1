use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use futures_util::stream;
use http_body::Frame;
use http_body_util::StreamBody;
use test_case::test_case;

use super::{ReadFailure, ResponseBudget, read_complete};

const PART: usize = 64 << 10;

/// Reads a response of parts from a body, with this many bytes held by others.
async fn read(parts: usize, others: usize) -> (Result<usize, bool>, usize) {
    let budget = Arc::new(ResponseBudget::new(160));
    budget.held.store(others, Ordering::Relaxed);
    let frames = (0..parts).map(|_| Ok::<_, Infallible>(Frame::data(Bytes::from(vec![0; PART]))));
    let read = read_complete(StreamBody::new(stream::iter(frames)), &budget).await;
    let length = read.map(|bytes| bytes.len());
    let length = length.map_err(|failure| matches!(failure, ReadFailure::TooLong));
    (length, budget.held.load(Ordering::Relaxed))
}

/// Targets send bodies without end to many requests at once. Guards against a host that runs out of memory, and against
/// short responses that are lost beside them.
#[test_case(16, 0, Ok(16 * PART))]
#[test_case(64, 0, Ok(64 * PART); "four megabytes")]
#[test_case(1_000, 0, Err(true); "without end")]
#[test_case(64, 18 << 20, Err(true); "four megabytes beside others")]
#[test_case(16, 30 << 20, Ok(16 * PART); "one megabyte beside others")]
#[tokio::test]
async fn responses_are_bounded_each_and_together(
    parts: usize,
    others: usize,
    expected: Result<usize, bool>,
) {
    let (length, held) = read(parts, others).await;

    assert_eq!(length, expected);
    assert_eq!(held, others, "all bytes were returned");
}
