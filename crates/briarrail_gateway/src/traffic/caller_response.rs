//! Responses to callers that relay those of targets.

use http::{HeaderMap, Response, response};

use super::request_context::remove_hop_by_hop_headers;
use super::response_body::ResponseBody;

/// Builds the response to the caller from the head of a target's response.
pub(super) fn caller_response(
    head: &response::Parts,
    body: ResponseBody,
) -> Response<ResponseBody> {
    let mut headers: HeaderMap = head.headers.clone();
    remove_hop_by_hop_headers(&mut headers);
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    *response.headers_mut() = headers;
    response
}
