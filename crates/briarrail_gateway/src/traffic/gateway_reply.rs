//! Responses that the gateway generates itself.

use briarrail_model::MilliDuration;
use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};

use super::response_body::ResponseBody;
use crate::{RefusalHeaders, WireDialect};

/// Creates a response of the gateway with a short reason in its body.
pub(crate) fn gateway_reply<D>(
    dialect: &D,
    status: StatusCode,
    reason: &'static str,
    request_id: Option<&Bytes>,
    retry_after: Option<MilliDuration>,
) -> Response<ResponseBody>
where
    D: WireDialect,
{
    let mut response = Response::new(ResponseBody::full(Bytes::from_static(reason.as_bytes())));
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static("text/plain");
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    let marks = RefusalHeaders {
        request_id,
        retry_after,
    };
    dialect.set_refusal_headers(response.headers_mut(), &marks);
    response
}
