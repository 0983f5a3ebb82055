//! What the head of a stream says about its kind.

use http::{HeaderMap, StatusCode, header, response};

const EVENT_STREAM: &str = "text/event-stream";

/// Status and media type of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct StreamHead {
    status: StatusCode,
    media_type: Option<String>,
}

impl StreamHead {
    /// Reads the head of the response that began a stream.
    pub(crate) fn read(head: &response::Parts) -> Self {
        Self {
            status: head.status,
            media_type: media_type(&head.headers),
        }
    }

    /// Checks that a response to a resumption can be the rest of the stream.
    ///
    /// # Errors
    ///
    /// Fails with the reason if it is not the rest, whatever its body holds.
    pub(crate) fn check_continuation(&self, head: &response::Parts) -> Result<(), &'static str> {
        if head.status != self.status {
            return Err("another status");
        }
        let found = media_type(&head.headers);
        if found != self.media_type && found.as_deref() != Some(EVENT_STREAM) {
            return Err("another media type");
        }
        check_length(&head.headers)
    }

    /// Checks that a successful response to a caller that takes its stream up can be the rest of a
    /// stream.
    ///
    /// # Errors
    ///
    /// Fails with the reason if it is not the rest, whatever its body holds.
    pub(crate) fn check_take_up(head: &response::Parts) -> Result<(), &'static str> {
        if head.status != StatusCode::OK {
            return Err("another status");
        }
        if media_type(&head.headers).is_some_and(|found| found != EVENT_STREAM) {
            return Err("another media type");
        }
        check_length(&head.headers)
    }
}

/// Checks that the head does not announce an empty body.
fn check_length(headers: &HeaderMap) -> Result<(), &'static str> {
    let length = headers.get(header::CONTENT_LENGTH);
    if length.is_some_and(|length| length.as_bytes() == b"0") {
        return Err("an empty body");
    }
    Ok(())
}

/// Returns the media type without its parameters.
fn media_type(headers: &HeaderMap) -> Option<String> {
    let text = headers.get(header::CONTENT_TYPE)?;
    let text = String::from_utf8_lossy(text.as_bytes());
    let essence = text.split(';').next().unwrap_or_default();
    Some(essence.trim().to_ascii_lowercase())
}
