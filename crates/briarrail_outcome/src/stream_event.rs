//! Parsing of the event fields that the stream checker needs.

use crate::StreamError;

const DONE_DATA: &[u8] = b"[DONE]";
const ERROR_EVENT_NAME: &[u8] = b"error";

/// The properties of one event that decide whether it is relayed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct StreamEvent {
    pub(crate) id: Option<u64>,
    pub(crate) has_data: bool,
    pub(crate) is_terminal: bool,
    pub(crate) is_error: bool,
    /// Whether there are only comments, reconnection times and empty lines, which may precede the
    /// events of any stream.
    pub(crate) is_preamble: bool,
}

impl StreamEvent {
    /// Parses the lines of one event.
    pub(crate) fn parse(text: &[u8]) -> Result<Self, StreamError> {
        let mut event = Self {
            is_preamble: true,
            ..Self::default()
        };
        let mut data_lines = 0_u32;
        let mut is_done = false;
        for line in text.split(|&byte| byte == b'\n') {
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            event.is_preamble &=
                line.is_empty() || line.starts_with(b":") || field_value(line, b"retry").is_some();
            if line == b"data" {
                // A field without a colon has an empty value.
                data_lines += 1;
                is_done = false;
            } else if let Some(value) = field_value(line, b"data") {
                data_lines += 1;
                is_done = value == DONE_DATA;
            } else if let Some(value) = field_value(line, b"id") {
                event.id = Some(parse_id(value)?);
            } else if let Some(value) = field_value(line, b"event") {
                event.is_error = value == ERROR_EVENT_NAME;
            }
        }
        event.has_data = data_lines > 0;
        event.is_terminal = is_done && data_lines == 1;
        Ok(event)
    }
}

fn field_value<'a>(line: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    let value = line.strip_prefix(name)?.strip_prefix(b":")?;
    Some(value.strip_prefix(b" ").unwrap_or(value))
}

fn parse_id(value: &[u8]) -> Result<u64, StreamError> {
    let text = std::str::from_utf8(value).map_err(|_| StreamError::BadId)?;
    text.parse().map_err(|_| StreamError::BadId)
}
