//! Collects mistakes while a file is read.

use std::cell::RefCell;

use jsonc_parser::common::Range;

use crate::{SettingsError, SettingsErrorKind, SettingsErrors};

const MAX_SHOWN_CHARS: usize = 60;

/// The mistakes found so far, and the text that they are in.
#[derive(Debug)]
pub(crate) struct ErrorLog<'t> {
    text: &'t str,
    errors: RefCell<Vec<SettingsError>>,
}

impl<'t> ErrorLog<'t> {
    pub(crate) fn new(text: &'t str) -> Self {
        Self {
            text,
            errors: RefCell::default(),
        }
    }

    /// Adds a mistake at a range of the text.
    pub(crate) fn add(
        &self,
        kind: SettingsErrorKind,
        at: Range,
        key: &str,
        value: &str,
        hint: &str,
    ) {
        self.errors.borrow_mut().push(SettingsError {
            kind,
            line: self.line_of(at),
            key: key.to_owned(),
            value: value.to_owned(),
            hint: hint.to_owned(),
        });
    }

    /// Returns the text of a range, cut to a length that fits a message.
    pub(crate) fn shown(&self, range: Range) -> String {
        let text = &self.text[range.start..range.end];
        let line = text.lines().next().unwrap_or_default();
        if line.len() == text.len() && line.chars().count() <= MAX_SHOWN_CHARS {
            return line.to_owned();
        }
        let start: String = line.chars().take(MAX_SHOWN_CHARS).collect();
        format!("{start}...")
    }

    /// Returns the mistakes in the order of their lines, if there are any.
    pub(crate) fn into_errors(self) -> Option<SettingsErrors> {
        let mut errors = self.errors.into_inner();
        errors.sort_by_key(|error| error.line);
        (!errors.is_empty()).then_some(SettingsErrors(errors))
    }

    fn line_of(&self, range: Range) -> usize {
        self.text[..range.start].matches('\n').count() + 1
    }
}
