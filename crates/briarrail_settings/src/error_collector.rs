//! Collects mistakes while a file is read.

use std::cell::RefCell;

use jsonc_parser::common::Range;

use crate::{SettingsError, SettingsErrorKind, SettingsErrors};

const MAX_EXCERPT_CHARS: usize = 60;

/// The mistakes found so far, and the text that they are in.
#[derive(Debug)]
pub(crate) struct ErrorCollector<'t> {
    text: &'t str,
    errors: RefCell<Vec<SettingsError>>,
}

impl<'t> ErrorCollector<'t> {
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
            line: self.line_number(at),
            key: key.to_owned(),
            value: value.to_owned(),
            hint: hint.to_owned(),
        });
    }

    /// Returns the text of a number or a string, cut to a length that fits a message.
    ///
    /// Objects and lists are excerpt by their brackets only, since they may hold a secret.
    pub(crate) fn excerpt(&self, range: Range) -> String {
        let text = &self.text[range.start..range.end];
        match text.as_bytes().first() {
            Some(b'{') => "{...}".to_owned(),
            Some(b'[') => "[...]".to_owned(),
            _ if text.chars().count() <= MAX_EXCERPT_CHARS => text.to_owned(),
            _ => text
                .chars()
                .take(MAX_EXCERPT_CHARS)
                .chain("...".chars())
                .collect(),
        }
    }

    /// Returns the text at which the parser gave up, unless it may be part of a secret.
    pub(crate) fn token_excerpt(&self, range: Range) -> &'t str {
        let text = self.text.get(range.start..range.end).unwrap_or_default();
        let is_mark = text.chars().all(|char| char.is_ascii_punctuation());
        if is_mark { text } else { "" }
    }

    /// Returns the mistakes in the order of their lines, if there are any.
    pub(crate) fn into_errors(self) -> Option<SettingsErrors> {
        let mut errors = self.errors.into_inner();
        errors.sort_by_key(|error| error.line);
        (!errors.is_empty()).then_some(SettingsErrors(errors))
    }

    fn line_number(&self, range: Range) -> usize {
        self.text[..range.start].matches('\n').count() + 1
    }
}
