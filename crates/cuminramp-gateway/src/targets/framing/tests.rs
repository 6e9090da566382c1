use http::Response;
use test_case::test_case;

use super::ResponseFraming;

#[test_case(&[("content-length", "3")] => ResponseFraming::Length)]
#[test_case(&[("transfer-encoding", "chunked")] => ResponseFraming::Chunks)]
#[test_case(&[("transfer-encoding", "gzip, Chunked"), ("content-length", "3")] => ResponseFraming::Chunks)]
#[test_case(&[("transfer-encoding", "gzip")] => ResponseFraming::Connection; "no chunks")]
#[test_case(&[] => ResponseFraming::Connection; "neither")]
fn the_end_of_a_response_is_marked_by(headers: &[(&str, &str)]) -> ResponseFraming {
    let response =
        headers.iter().fold(Response::builder(), |head, (name, value)| head.header(*name, *value));
    let (parts, ()) = response.body(()).unwrap().into_parts();

    ResponseFraming::of(&parts)
}
