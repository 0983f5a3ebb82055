//! Answers that the gateway gives itself.

use briarrail_model::MilliDuration;
use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};

use super::relay_body::RelayBody;
use crate::{RefusalMarks, WireDialect};

/// Makes an answer of the gateway with a short reason in its body.
pub(crate) fn gateway_reply<D>(
    dialect: &D,
    status: StatusCode,
    reason: &'static str,
    request_id: Option<&Bytes>,
    retry_after: Option<MilliDuration>,
) -> Response<RelayBody>
where
    D: WireDialect,
{
    let mut response = Response::new(RelayBody::whole(Bytes::from_static(reason.as_bytes())));
    *response.status_mut() = status;
    let text = HeaderValue::from_static("text/plain");
    response.headers_mut().insert(header::CONTENT_TYPE, text);
    let marks = RefusalMarks {
        request_id,
        retry_after,
    };
    dialect.mark_refusal(response.headers_mut(), &marks);
    response
}
